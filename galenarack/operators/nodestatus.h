#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Galenarack {

/// Whether a node is ready to serve, with the reason when it is not.
struct Readiness
{
    bool ready = false;
    std::string reason; ///< E.g. "no document in force", "draining".
};

/// A section whose latest content is not in force.
struct HeldBackSection
{
    std::string section;
    std::string owner;
    std::string reason;
};

/// State of one member as seen by this node.
struct MemberStatus
{
    std::string name;
    std::string address;
    std::string failureDomain;
    std::string state;
    std::string incarnation;
    std::uint64_t revision = 0;
    std::int64_t heardMsAgo = -1; ///< Milliseconds since the last direct message of the member; -1 when there was none.
    bool suspected = false;
};

/// Reply of the operators' port to `/status`.
struct NodeStatus
{
    std::string fleet;
    std::string node;
    std::string address;
    std::string failureDomain;
    std::string incarnation;
    Readiness readiness;
    bool leaving = false;
    std::uint64_t revision = 0; ///< Revision in force; 0 when there is none.
    std::uint64_t heardRevision = 0; ///< Highest revision known from the configuration service or a peer.
    std::string digest;
    std::int64_t serviceSilentMs = -1; ///< Milliseconds since the last reply of the configuration service; -1 when there was none.
    std::int64_t upMs = 0; ///< Milliseconds since the process started.
    std::uint32_t inFlight = 0; ///< Requests of callers in progress at this ingress.
    std::uint32_t homeInFlight = 0; ///< Requests in progress at this home.
    std::uint64_t ledgerEntries = 0;
    std::vector<HeldBackSection> heldBack;
    std::vector<MemberStatus> members;
};

/// State of one upstream as seen by this node.
struct UpstreamStatus
{
    std::string name;
    std::string service;
    std::string vm;
    std::string failureDomain;
    std::string state; ///< "serving", "cold", "leaving", "ejected" or "unreachable".
    std::string reason; ///< Why the upstream is not serving.
    bool home = false; ///< Whether this node is its home. The load is exact there, and that of the last report elsewhere.
    double weight = 1.0; ///< Share of its normal load that the upstream gets; 1 for all of it.
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    std::int64_t latencyUs = -1; ///< Latency summary in microseconds; -1 without samples.
};

nlohmann::ordered_json toJson(const NodeStatus &status);
nlohmann::ordered_json toJson(const UpstreamStatus &status);

/// Inverse of toJson(). Missing members keep their defaults, so that tools can read replies of nodes of another release.
/// @return InvalidRequest when `value` is not an object or a member has the wrong type
absl::StatusOr<NodeStatus> nodeStatusFromJson(const nlohmann::json &value);
absl::StatusOr<UpstreamStatus> upstreamStatusFromJson(const nlohmann::json &value);

} // namespace Galenarack
