#pragma once

#include <galenarack/core/log.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Galenarack {

/// One section of a revision, with the team that owns it.
struct AuditSection
{
    std::string section;
    std::string owner;
    std::string detail; ///< What changed, or the error and its line.
    bool heldBack = false; ///< The latest content had errors, so the previous one is in force.
};

/// A revision that was put in force.
struct RevisionAccepted
{
    std::uint64_t revision = 0;
    std::uint64_t previous = 0;
    std::string digest;
    std::string source; ///< "configuration service" or the name of the peer it came from.
    std::vector<AuditSection> changes; ///< Changed and held-back sections.
};

/// A revision that was not put in force.
struct RevisionRefused
{
    std::uint64_t revision = 0;
    std::uint64_t inForce = 0;
    std::string errorKind; ///< Name of the error kind, e.g. "config-stale".
    std::string source; ///< As in RevisionAccepted.
    std::vector<AuditSection> errors;
};

/// An upstream that gets no more ordinary work, ejected by health evaluation or by a rule of the document.
struct UpstreamEjected
{
    std::string upstream;
    std::string service;
    std::string reason; ///< E.g. "latency", "failures", "rule aside".
    std::string evidence; ///< Measurements that led to the ejection, e.g. "cusum 5.2 over 41 samples, p50 210 ms, median of peers 20 ms".
    std::uint32_t kept = 0; ///< Upstreams of the service in use after the ejection.
    std::uint32_t floor = 0; ///< Floor of the service at the time of the ejection.
    std::int64_t durationMs = 0; ///< Ejection time in milliseconds; 0 when it lasts until a rule changes.
};

/// An upstream that gets work again after an ejection.
struct UpstreamReinstated
{
    std::string upstream;
    std::string service;
    std::string evidence;
};

/// An upstream or node that started to drain: it accepts no new work and leaves.
struct DrainStarted
{
    std::string subject; ///< Name of the upstream, or of the VM when the whole node leaves.
    std::string signal; ///< "vm list", "drain header", "drain endpoint", "SIGTERM", "gossip" or "rule retire".
    std::uint32_t inFlight = 0; ///< Requests in progress when the drain started.
};

/// An ejection that the floor of the service prevented.
struct FloorHit
{
    std::string service;
    std::string upstream; ///< Upstream that stays in use although considered unhealthy.
    std::string failureDomain; ///< Set when the floor of a failure domain prevented the ejection, otherwise empty.
    std::uint32_t kept = 0;
    std::uint32_t floor = 0;
    std::string evidence;
};

/// A change of a node's membership state.
struct MembershipChanged
{
    std::string node;
    std::string before;
    std::string after;
    std::string evidence;
};

/// A record of any kind.
using AuditRecord
    = std::variant<RevisionAccepted, RevisionRefused, UpstreamEjected, UpstreamReinstated, DrainStarted, FloorHit, MembershipChanged>;

/// One record with its number and time.
struct AuditEntry
{
    std::uint64_t number = 0; ///< Sequence number; 1 for the first record of the process.
    std::chrono::system_clock::time_point time;
    AuditRecord record;
};

/// @return the name of a record's kind, e.g. "ejection"
std::string_view auditKindName(const AuditRecord &record);

/// @return the entry as one flat object: "number", "time_ms", "kind" and the members of the record
nlohmann::ordered_json toJson(const AuditEntry &entry);

/// Audit trail of a node: one JSON line in the log for each record, and the last `capacity` records in memory.
class AuditTrail
{
public:
    static constexpr std::size_t capacity = 1024;

    /// Adds a record and logs it with component "audit".
    void append(AuditRecord record, std::chrono::system_clock::time_point time = std::chrono::system_clock::now());

    /// @return records in memory with a number above `number`, oldest first
    std::vector<AuditEntry> after(std::uint64_t number) const;

    /// @return number of the last record; 0 when there is none
    std::uint64_t lastNumber() const
    {
        return this->last;
    }

    /// @return reply of the operators' port to `/audit?after=N`: "records", "last" (number of the last record) and "missed"
    ///     (count of records above `number` that are no longer in memory)
    nlohmann::ordered_json page(std::uint64_t number) const;

private:
    Log log{"audit"};
    std::deque<AuditEntry> entries;
    std::uint64_t last = 0;
};

} // namespace Galenarack
