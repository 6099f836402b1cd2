#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/document/nameindex.h>

#include <cstdint>
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

/// Routes with longest-prefix lookup by whole path segments. Several routes may share a prefix with different methods.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(std::vector<RouteRow> rows);

    /// @param path path of the request target, without the query
    /// @return the first route with the longest prefix that matches, or null
    const RouteRow *find(std::string_view path) const;

    /// @return the route with the longest prefix that matches and that allows the method; when none of that prefix does,
    ///     the first one, so that the caller sees allows() fail; null when no prefix matches
    const RouteRow *find(std::string_view path, std::string_view method) const;

    /// @return all routes in document order
    const std::vector<RouteRow> &all() const
    {
        return this->rows;
    }

private:
    /// Rows with the same prefix, as a range of `order`.
    struct PrefixEntry
    {
        std::uint32_t first = 0;
        std::uint32_t count = 0;
    };

    /// @return the entry of the longest prefix that matches, or null
    const PrefixEntry *findPrefix(std::string_view path) const;

    std::vector<RouteRow> rows;
    std::vector<std::uint32_t> order; ///< Indexes of rows, sorted by prefix and then by document order.
    NameMap<PrefixEntry> byPrefix;
    std::vector<bool> hasLength; ///< Whether some prefix has this length; spares most of the hashing.
};

} // namespace Galenarack
