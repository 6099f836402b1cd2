#include <galenarack/document/accounttable.h>

#include <utility>

namespace Galenarack {

AccountTable::AccountTable(std::vector<AccountRow> rows)
    : rows(std::move(rows))
{
    this->byName.reserve(this->rows.size());
    for (std::uint32_t i = 0; i < this->rows.size(); ++i) {
        this->byName.emplace(this->rows[i].name, i);
    }
}

const AccountRow *AccountTable::find(std::string_view name) const
{
    const auto entry = this->byName.find(name);
    return entry == this->byName.end() ? nullptr : &this->rows[entry->second];
}

} // namespace Galenarack
