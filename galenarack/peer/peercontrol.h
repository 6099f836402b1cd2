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

/// Version of the peer protocol. Nodes with different versions refuse each other's connections.
inline constexpr int peerProtocolVersion = 1;

/// Request paths of control messages between nodes.
namespace PeerPath {
inline constexpr std::string_view hello = "/.galenarack/hello";
inline constexpr std::string_view heartbeat = "/.galenarack/heartbeat";
inline constexpr std::string_view outcome = "/.galenarack/outcome/"; ///< Outcome query; followed by the request ID.
inline constexpr std::string_view relay = "/.galenarack/relay/"; ///< Outcome query through a third node; followed by VM and request ID.
inline constexpr std::string_view manifest = "/.galenarack/manifest";
inline constexpr std::string_view section = "/.galenarack/section/"; ///< Followed by the digest of the section.
} // namespace PeerPath

/// Report of a home on one of its upstreams, with the name of the upstream.
struct NamedUpstreamReport
{
    std::string upstream;
    UpstreamReport report;
};

/// Appends a report to the header fields of a response.
void appendReport(const UpstreamReport &report, HeaderList &headers);

/// @return the report in the header fields of a response, or nothing when it is missing or malformed
std::optional<UpstreamReport> reportFromHeaders(const HeaderList &headers);

/// Report of a node on itself, sent in hello messages and in the responses to heartbeats.
struct NodeReport
{
    int version = peerProtocolVersion;
    std::string fleet;
    std::string vm;
    Incarnation incarnation;
    std::int64_t clockMs = 0; ///< Clock of the node when it made the report, in milliseconds.
    std::uint64_t revision = 0; ///< Document revision in force at the node; 0 before the first.
    bool leaving = false;
    std::vector<NamedUpstreamReport> upstreams; ///< Reports on the upstreams of the node; only in heartbeats.

    /// @return the report encoded as CBOR
    std::string encode() const;

    /// @return the report, or InvalidRequest when the bytes are not a well-formed report
    static absl::StatusOr<NodeReport> decode(std::string_view bytes);
};

} // namespace Galenarack
