#pragma once

#include <galenarack/core/ids.h>

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// What a gossip update says about a node's liveness. The order is the order of precedence at an equal counter.
enum class GossipState : std::uint8_t {
    Live,
    Suspect, ///< Probes failed; the node can refute with a higher counter.
    Gone,
};

/// Why a home takes no ordinary new work for one of its upstreams.
enum class UpstreamMarkKind : std::uint8_t {
    Ejected,
    Leaving,
};

/// One upstream of a node that is ejected or leaving.
struct UpstreamMark
{
    std::string upstream;
    UpstreamMarkKind kind = UpstreamMarkKind::Ejected;

    bool operator==(const UpstreamMark &) const = default;
};

/// One node as a gossip message describes it.
struct MemberUpdate
{
    std::string name; ///< Name of the VM.
    std::string address; ///< IP address; all nodes of a fleet use the same peer port.
    std::string failureDomain;
    Incarnation incarnation;
    std::uint32_t counter = 0; ///< Raised only by the node itself, also across its restarts.
    GossipState state = GossipState::Live;
    bool leaving = false; ///< Set once for an incarnation, never cleared.
    std::uint64_t revision = 0; ///< Document revision in force at the node.
    std::vector<UpstreamMark> marks; ///< At most maxMarksBytes encoded.

    bool operator==(const MemberUpdate &) const = default;
};

/// Kind of a gossip datagram.
enum class GossipKind : std::uint8_t {
    Probe,
    Acknowledge,
    IndirectProbe, ///< Asks the receiver to probe `target` and to pass on the acknowledgement.
};

/// One gossip datagram.
struct GossipMessage
{
    std::string fleet;
    GossipKind kind = GossipKind::Probe;
    std::uint32_t sequence = 0; ///< Chosen by the prober; an acknowledgement repeats it.
    MemberUpdate sender; ///< The sender about itself.
    std::string target; ///< IndirectProbe: the node to probe. Acknowledge: the node that acknowledged, when passed on.
    /// Probe: asks for the members with names after this one. Acknowledge: the last name sent; nothing when none follows.
    std::optional<std::string> syncAfter;
    std::vector<MemberUpdate> updates;

    bool operator==(const GossipMessage &) const = default;
};

/// Protocol version of gossip datagrams; a receiver drops every other version.
inline constexpr std::uint32_t gossipProtocolVersion = 1;

/// Largest datagram in bytes: below the usual path MTU of 1,500 with room for tunnels, so that it is never fragmented.
inline constexpr std::size_t maxGossipBytes = 1200;

/// Bytes of an IPv4 and a UDP header, counted for each datagram.
inline constexpr std::size_t datagramHeaderBytes = 28;

/// Limit on the encoded upstream marks of one node, so that its own row and one more always fit a datagram.
inline constexpr std::size_t maxMarksBytes = 250;

/// Longest name of a VM, failure domain, fleet or upstream in bytes, as in a DNS label.
inline constexpr std::size_t maxNameBytes = 63;

/// @return whether `name` has 1 to maxNameBytes printable ASCII characters without space, quote or backslash
bool isGossipName(std::string_view name);

/// @return whether `address` is an IP address without a scope
bool isGossipAddress(std::string_view address);

/// @return an upper bound on the encoded bytes of one update
std::size_t encodedBound(const MemberUpdate &update);

/// @return an upper bound on the encoded bytes of a message
std::size_t encodedBound(const GossipMessage &message);

/// @return the marks that fit maxMarksBytes: leaving upstreams first, because a lost leaving mark sends them work
std::vector<UpstreamMark> fittingMarks(std::vector<UpstreamMark> marks);

/// Encodes a message as a CBOR array.
std::string encodeGossip(const GossipMessage &message);

/// Decodes a datagram. Every field is checked, so the result can be merged as it is.
/// @return InvalidRequest for garbage, another protocol version or a foreign fleet
absl::StatusOr<GossipMessage> decodeGossip(std::string_view datagram, std::string_view fleet);

} // namespace Galenarack
