#include <galenarack/document/routetable.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Galenarack {

bool RouteRow::isRepeatable(std::string_view method) const
{
    constexpr std::array<std::string_view, 6> idempotentMethods = {"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
    if (this->repeatable) {
        return *this->repeatable;
    }
    return std::ranges::find(idempotentMethods, method) != idempotentMethods.end();
}

bool RouteRow::allows(std::string_view method) const
{
    return this->methods.empty() || std::ranges::find(this->methods, method) != this->methods.end();
}

RouteTable::RouteTable(std::vector<RouteRow> rows)
    : rows(std::move(rows))
{
    for (std::uint32_t i = 0; i < this->rows.size(); ++i) {
        this->byPrefix.emplace(this->rows[i].prefix, i);
    }
}

const RouteRow *RouteTable::find(std::string_view path) const
{
    // Try the whole path, then drop one segment at a time.
    while (!path.empty()) {
        const auto entry = this->byPrefix.find(path);
        if (entry != this->byPrefix.end()) {
            return &this->rows[entry->second];
        }
        path = path.substr(0, path.rfind('/'));
    }
    const auto root = this->byPrefix.find("/");
    return root == this->byPrefix.end() ? nullptr : &this->rows[root->second];
}

} // namespace Galenarack
