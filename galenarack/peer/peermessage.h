#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// One HTTP header field. The name is in lower case, as HTTP/2 requires.
struct HeaderField
{
    std::string name;
    std::string value;
};

/// Header fields of a message, in the order in which they were added.
class HeaderList
{
public:
    /// Appends a field.
    void add(std::string_view name, std::string_view value);

    /// @return the value of the first field with that lower-case name, or nothing
    std::optional<std::string_view> find(std::string_view name) const;

    /// @return the value of the first field with that name as a decimal number, or nothing when it is missing or malformed
    std::optional<std::int64_t> findNumber(std::string_view name) const;

    /// Removes all fields whose lower-case name begins with `prefix`.
    void removeWithPrefix(std::string_view prefix);

    /// @return all fields, in order
    const std::vector<HeaderField> &all() const
    {
        return this->fields;
    }

private:
    std::vector<HeaderField> fields;
};

/// A request between nodes with its complete body, sent on one HTTP/2 stream.
struct PeerRequest
{
    std::string method;
    std::string path;
    HeaderList headers;
    std::string body;
};

/// The response to a PeerRequest, with its complete body.
struct PeerResponse
{
    unsigned status = 200;
    HeaderList headers;
    std::string body;
};

/// Names of the header fields that carry the metadata of galenarack between nodes.
namespace PeerHeader {
inline constexpr std::string_view kind = "galenarack-kind"; ///< "forward" on requests of callers.
inline constexpr std::string_view requestId = "galenarack-request-id";
inline constexpr std::string_view incarnation = "galenarack-incarnation"; ///< Incarnation of the home that the request is addressed to.
inline constexpr std::string_view expiryMs = "galenarack-expiry-ms"; ///< Expiry of the request in the home's clock, in milliseconds.
inline constexpr std::string_view account = "galenarack-account";
inline constexpr std::string_view upstream = "galenarack-upstream";
inline constexpr std::string_view revision = "galenarack-revision";
inline constexpr std::string_view repeatable = "galenarack-repeatable"; ///< Whether the request may run more than once: "1" or "0".
inline constexpr std::string_view key = "galenarack-key";
inline constexpr std::string_view insist = "galenarack-insist"; ///< "1": the floor keeps the upstream; the home must accept the request.
inline constexpr std::string_view mayQueue = "galenarack-may-queue"; ///< "0": the home refuses the request at once when no slot is free.
inline constexpr std::string_view serviceMedianUs = "galenarack-service-median-us";
inline constexpr std::string_view error = "galenarack-error"; ///< Name of the ErrorKind of a failed request.
inline constexpr std::string_view execution = "galenarack-execution"; ///< Name of an Execution: of failed work, or stated by an upstream.
inline constexpr std::string_view load = "galenarack-load"; ///< Load of the upstream: "in flight,queued,slots".
inline constexpr std::string_view state = "galenarack-state"; ///< Health of the upstream: "state,cause,severity,weight".
inline constexpr std::string_view latencyUs = "galenarack-latency-us"; ///< Latency in microseconds and its route class: "latency,class".
inline constexpr std::string_view clockMs = "galenarack-clock-ms"; ///< Clock of the home when it answered, in milliseconds.
inline constexpr std::string_view prefix = "galenarack-"; ///< Prefix of all these names. Fields of callers with this prefix are dropped.
} // namespace PeerHeader

} // namespace Galenarack
