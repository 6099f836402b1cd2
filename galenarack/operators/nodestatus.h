#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Galenarack {

/// Whether a node serves, with the reason when it does not.
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

/// One member as the node sees it.
struct MemberStatus
{
    std::string name;
    std::string address;
    std::string failureDomain;
    std::string state;
    std::string incarnation;
    std::uint64_t revision = 0;
    std::int64_t heardMsAgo = -1; ///< -1 when never heard directly.
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
    std::uint64_t revision = 0; ///< In force.
    std::uint64_t heardRevision = 0; ///< Highest heard of the service or a peer.
    std::string digest;
    std::int64_t serviceSilentMs = -1; ///< Since the configuration service last answered; -1 when it never did.
    std::int64_t upMs = 0; ///< Since the process started.
    std::uint32_t inFlight = 0; ///< Requests of callers in flight at this ingress.
    std::uint32_t homeInFlight = 0; ///< Requests in flight at this home.
    std::uint64_t ledgerEntries = 0;
    std::vector<HeldBackSection> heldBack;
    std::vector<MemberStatus> members;
};

/// One upstream as the node sees it.
struct UpstreamStatus
{
    std::string name;
    std::string service;
    std::string vm;
    std::string failureDomain;
    std::string state; ///< "serving", "cold", "leaving", "ejected" or "unreachable".
    std::string reason; ///< Why it is not serving.
    bool home = false; ///< This node is its home; the load is then exact, otherwise the last report.
    double weight = 1.0; ///< Share of its normal load.
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    std::int64_t latencyUs = -1; ///< Latency summary; -1 without samples.
};

nlohmann::ordered_json toJson(const NodeStatus &status);
nlohmann::ordered_json toJson(const UpstreamStatus &status);

/// Inverse of toJson(); missing members keep their defaults, so that tools read nodes of another release.
/// @return InvalidRequest when `value` is no object or a member has another type
absl::StatusOr<NodeStatus> nodeStatusFromJson(const nlohmann::json &value);
absl::StatusOr<UpstreamStatus> upstreamStatusFromJson(const nlohmann::json &value);

} // namespace Galenarack
