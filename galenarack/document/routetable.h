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
    std::string prefix; ///< Path prefix of whole segments, e.g. "/claims"; "/" matches all paths.
    std::string section;
    std::vector<std::string> methods; ///< HTTP methods in upper case; empty means all methods.
    std::uint32_t service = 0; ///< Index into Document::services.
    std::optional<bool> repeatable; ///< Whether requests may run more than once; unset means by the method (RFC 9110 section 9.2.2).
    Duration deadline = std::chrono::seconds(5); ///< Time from the caller's request to the last byte of the response.
    bool hedge = false; ///< Whether repeatable requests may be hedged.

    /// @return whether a request with this method may run more than once
    bool isRepeatable(std::string_view method) const;

    /// @return whether the route allows the method
    bool allows(std::string_view method) const;
};

/// Routes with longest-prefix lookup by whole path segments. Several routes may have the same prefix if their methods differ.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(std::vector<RouteRow> rows);

    /// @param path path of the request target, without the query
    /// @return the first route with the longest prefix that matches, or null
    const RouteRow *find(std::string_view path) const;

    /// @return the first route with the longest prefix that matches and that allows the method; when no route of that prefix allows
    ///     it, the first one, for which allows() returns false; null when no prefix matches
    const RouteRow *find(std::string_view path, std::string_view method) const;

    /// @return all routes in document order
    const std::vector<RouteRow> &all() const
    {
        return this->rows;
    }

private:
    /// Rows with the same prefix, as a range in `order`.
    struct PrefixEntry
    {
        std::uint32_t first = 0;
        std::uint32_t count = 0;
    };

    /// @return the entry of the longest prefix that matches, or null
    const PrefixEntry *findPrefix(std::string_view path) const;

    std::vector<RouteRow> rows;
    std::vector<std::uint32_t> order; ///< Indexes of the rows, sorted by prefix and then by document order.
    NameMap<PrefixEntry> byPrefix;
    std::vector<bool> hasLength; ///< Whether some prefix has the length of the index; avoids most of the hashing.
};

} // namespace Galenarack
