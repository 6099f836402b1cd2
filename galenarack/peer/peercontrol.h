#pragma once

#include <galenarack/core/ids.h>
#include <galenarack/core/nodeidentity.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// Version of the protocol between nodes; nodes with different versions refuse each other.
inline constexpr int peerProtocolVersion = 1;

/// Paths of the control streams between nodes.
namespace PeerPath {
inline constexpr std::string_view hello = "/.galenarack/hello";
inline constexpr std::string_view heartbeat = "/.galenarack/heartbeat";
inline constexpr std::string_view outcome = "/.galenarack/outcome/"; ///< Followed by the request id.
inline constexpr std::string_view relay = "/.galenarack/relay/"; ///< Followed by VM and request id: outcome query through a third node.
inline constexpr std::string_view manifest = "/.galenarack/manifest";
inline constexpr std::string_view section = "/.galenarack/section/"; ///< Followed by the digest.
} // namespace PeerPath

/// State of one home upstream, as its home reports it.
struct UpstreamReport
{
    std::string upstream;
    std::string state; ///< "serving", "cold", "leaving" or "ejected".
    double severity = 0.0; ///< 0 healthy, 1 or more: the home would eject.
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    std::int64_t latencyUs = 0; ///< Latency summary; 0 without samples.
};

/// What a node tells a peer about itself in hello and heartbeat messages.
struct NodeReport
{
    int version = peerProtocolVersion;
    std::string fleet;
    std::string vm;
    Incarnation incarnation;
    std::int64_t clockMs = 0; ///< The node's own clock when the message was made.
    std::uint64_t revision = 0; ///< Revision in force; 0 before the first.
    bool leaving = false;
    std::vector<UpstreamReport> upstreams; ///< Only in heartbeats.

    /// @return CBOR bytes
    std::string encode() const;

    /// @return the report, or InvalidRequest when the bytes are not one
    static absl::StatusOr<NodeReport> decode(std::string_view bytes);
};

} // namespace Galenarack
