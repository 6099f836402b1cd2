#pragma once

#include <galenarack/core/ids.h>
#include <galenarack/core/nodeidentity.h>
#include <galenarack/health/upstreamreport.h>
#include <galenarack/peer/peermessage.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
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

/// The home's report on one of its upstreams, with the name of the upstream.
struct NamedUpstreamReport
{
    std::string upstream;
    UpstreamReport report;
};

/// Appends a report to the header fields of a response.
void appendReport(const UpstreamReport &report, HeaderList &headers);

/// @return the report in the header fields of a response, or nothing when there is none or it is malformed
std::optional<UpstreamReport> reportFromHeaders(const HeaderList &headers);

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
    std::vector<NamedUpstreamReport> upstreams; ///< Only in heartbeats.

    /// @return CBOR bytes
    std::string encode() const;

    /// @return the report, or InvalidRequest when the bytes are not one
    static absl::StatusOr<NodeReport> decode(std::string_view bytes);
};

} // namespace Galenarack
