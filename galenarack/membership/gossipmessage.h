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

/// Liveness of a node according to a gossip update. At an equal counter, a later value takes precedence over an earlier one.
enum class GossipState : std::uint8_t {
    Live,
    Suspect, ///< Probes failed; the node can refute the suspicion with a higher counter.
    Gone,
};

/// Reason for which a home accepts no ordinary new requests for one of its upstreams.
enum class UpstreamMarkKind : std::uint8_t {
    Ejected,
    Leaving,
};

/// Mark of an upstream of a node that is ejected or leaving.
struct UpstreamMark
{
    std::string upstream; ///< Name of the upstream.
    UpstreamMarkKind kind = UpstreamMarkKind::Ejected;

    bool operator==(const UpstreamMark &) const = default;
};

/// State of one node in a gossip message.
struct MemberUpdate
{
    std::string name; ///< Name of the VM.
    std::string address; ///< IP address of the node; all nodes of a fleet use the same peer port.
    std::string failureDomain;
    Incarnation incarnation;
    std::uint32_t counter = 0; ///< Version of this state, raised only by the node itself, also across its restarts.
    GossipState state = GossipState::Live;
    bool leaving = false; ///< Whether the node is leaving; never cleared for an incarnation.
    std::uint64_t revision = 0; ///< Document revision in force at the node.
    std::vector<UpstreamMark> marks; ///< Upstreams that are ejected or leaving; at most maxMarksBytes when encoded.

    bool operator==(const MemberUpdate &) const = default;
};

/// Kind of a gossip datagram.
enum class GossipKind : std::uint8_t {
    Probe,
    Acknowledge,
    IndirectProbe, ///< Asks the receiver to probe `target` and to forward the acknowledgement.
};

/// One gossip datagram.
struct GossipMessage
{
    std::string fleet;
    GossipKind kind = GossipKind::Probe;
    std::uint32_t sequence = 0; ///< Sequence number chosen by the prober; the acknowledgement repeats it.
    MemberUpdate sender; ///< State of the sender.
    std::string target; ///< IndirectProbe: the node to probe. Acknowledge: the node that acknowledged, if forwarded.
    /// Probe: requests the members with names after this one (table transfer). Acknowledge: the last name sent, or nothing
    /// when no further member follows.
    std::optional<std::string> syncAfter;
    std::vector<MemberUpdate> updates; ///< States of nodes other than the sender.

    bool operator==(const GossipMessage &) const = default;
};

/// Protocol version of gossip datagrams. A receiver drops datagrams of every other version.
inline constexpr std::uint32_t gossipProtocolVersion = 1;

/// Maximum size of a datagram in bytes: below the usual path MTU of 1,500 bytes with room for tunnel headers, so that it is
/// not fragmented.
inline constexpr std::size_t maxGossipBytes = 1200;

/// Size of an IPv4 and a UDP header in bytes, counted for each datagram.
inline constexpr std::size_t datagramHeaderBytes = 28;

/// Maximum size of the encoded upstream marks of one node in bytes, so that the state of the sender and of one more node
/// always fit into a datagram.
inline constexpr std::size_t maxMarksBytes = 250;

/// Maximum length of the name of a VM, failure domain, fleet or upstream in bytes, as for a DNS label.
inline constexpr std::size_t maxNameBytes = 63;

/// @return whether `name` consists of 1 to maxNameBytes printable ASCII characters other than space, double quote and backslash
bool isGossipName(std::string_view name);

/// @return whether `address` is an IP address without a scope ID
bool isGossipAddress(std::string_view address);

/// @return an upper bound on the encoded size of an update in bytes
std::size_t encodedBound(const MemberUpdate &update);

/// @return an upper bound on the encoded size of a message in bytes
std::size_t encodedBound(const GossipMessage &message);

/// Removes marks that do not fit into maxMarksBytes. Keeps leaving upstreams before ejected ones, because nodes that miss a
/// leaving mark go on sending requests.
/// @return the marks that fit and have a valid name
std::vector<UpstreamMark> fittingMarks(std::vector<UpstreamMark> marks);

/// Encodes a message as a CBOR array.
std::string encodeGossip(const GossipMessage &message);

/// Decodes a datagram. Every field is validated, so the result can be merged without further checks.
/// @return the message, or InvalidRequest for malformed data, another protocol version or another fleet
absl::StatusOr<GossipMessage> decodeGossip(std::string_view datagram, std::string_view fleet);

} // namespace Galenarack
