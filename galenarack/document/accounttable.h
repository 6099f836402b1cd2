#pragma once

#include <galenarack/document/nameindex.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// One client account of the document.
struct AccountRow
{
    std::string name;
    std::string section;
    std::uint32_t maxInFlight = 0; ///< Maximum number of requests in flight at one ingress; 0 means no limit.
    double ratePerSecond = 0.0; ///< Maximum number of requests per second at one ingress; 0 means no limit.
};

/// Client accounts with lookup by name.
class AccountTable
{
public:
    AccountTable() = default;
    explicit AccountTable(std::vector<AccountRow> rows);

    /// @return the account, or null
    const AccountRow *find(std::string_view name) const;

    /// @return all accounts in document order
    const std::vector<AccountRow> &all() const
    {
        return this->rows;
    }

private:
    std::vector<AccountRow> rows;
    NameIndex byName;
};

} // namespace Galenarack
