#pragma once

#include <galenarack/core/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// One route of the document.
struct RouteRow
{
    std::string prefix; ///< Path prefix in whole segments, e.g. "/claims"; "/" matches all.
    std::string section;
    std::vector<std::string> methods; ///< Upper case; empty means all.
    std::uint32_t service = 0; ///< Index into Document::services.
    std::optional<bool> repeatable; ///< Unset: by the method (RFC 9110 section 9.2.2).
    Duration deadline = std::chrono::seconds(5); ///< From the caller's request to the last byte of the response.
    bool hedge = false; ///< Repeatable requests may be hedged.

    /// @return whether a request with this method may run more than once
    bool isRepeatable(std::string_view method) const;

    /// @return whether the route takes the method
    bool allows(std::string_view method) const;
};

/// Routes with longest-prefix lookup by whole path segments.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(std::vector<RouteRow> rows);

    /// @param path path of the request target, without the query
    /// @return the route with the longest prefix that matches, or null
    const RouteRow *find(std::string_view path) const;

    /// @return all routes in document order
    const std::vector<RouteRow> &all() const
    {
        return this->rows;
    }

private:
    std::vector<RouteRow> rows;
    std::map<std::string, std::uint32_t, std::less<>> byPrefix;
};

} // namespace Galenarack
