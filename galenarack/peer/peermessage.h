#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// One HTTP header field; names are lower case, as HTTP/2 asks for.
struct HeaderField
{
    std::string name;
    std::string value;
};

/// Header fields of a message in the order received.
class HeaderList
{
public:
    /// Appends a field.
    void add(std::string_view name, std::string_view value);

    /// @return the value of the first field with that lower-case name, or nothing
    std::optional<std::string_view> find(std::string_view name) const;

    /// @return the value as a decimal number, or nothing when the field is absent or malformed
    std::optional<std::int64_t> findNumber(std::string_view name) const;

    /// @return all fields
    const std::vector<HeaderField> &all() const
    {
        return this->fields;
    }

private:
    std::vector<HeaderField> fields;
};

/// A request between nodes: one HTTP/2 stream, body complete.
struct PeerRequest
{
    std::string method;
    std::string path;
    HeaderList headers;
    std::string body;
};

/// The response to a PeerRequest, body complete.
struct PeerResponse
{
    unsigned status = 200;
    HeaderList headers;
    std::string body;
};

/// Names of the header fields that carry galenarack's own data between nodes.
namespace PeerHeader {
inline constexpr std::string_view kind = "galenarack-kind"; ///< "forward" on caller requests.
inline constexpr std::string_view requestId = "galenarack-request-id";
inline constexpr std::string_view incarnation = "galenarack-incarnation"; ///< Of the home that the request is addressed to.
inline constexpr std::string_view expiryMs = "galenarack-expiry-ms"; ///< In the home's clock.
inline constexpr std::string_view account = "galenarack-account";
inline constexpr std::string_view upstream = "galenarack-upstream";
inline constexpr std::string_view revision = "galenarack-revision";
inline constexpr std::string_view repeatable = "galenarack-repeatable"; ///< "1" or "0".
inline constexpr std::string_view key = "galenarack-key";
inline constexpr std::string_view insist = "galenarack-insist"; ///< "1": the floor keeps this upstream, so the home must take the work.
inline constexpr std::string_view mayQueue = "galenarack-may-queue"; ///< "0": refuse at once when no slot is free.
inline constexpr std::string_view serviceMedianUs = "galenarack-service-median-us";
inline constexpr std::string_view error = "galenarack-error"; ///< Name of the ErrorKind.
inline constexpr std::string_view load = "galenarack-load"; ///< "in flight,queued,slots".
inline constexpr std::string_view state = "galenarack-state"; ///< "serving", "cold", "leaving" or "ejected", comma, severity.
inline constexpr std::string_view latencyUs = "galenarack-latency-us"; ///< Latency summary of the upstream.
inline constexpr std::string_view clockMs = "galenarack-clock-ms"; ///< The home's clock when it answered.
inline constexpr std::string_view prefix = "galenarack-"; ///< Callers' fields with this prefix are dropped.
} // namespace PeerHeader

} // namespace Galenarack
