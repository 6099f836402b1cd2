#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/document/accounttable.h>
#include <galenarack/document/nameindex.h>
#include <galenarack/document/routetable.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// Which of the two measures a service weighs more: detection time or false ejections.
enum class DetectionProfile : std::uint8_t {
    Claims, ///< Detection time first.
    Authority, ///< False ejections first.
};

/// What operators decided about an upstream. It takes precedence over the judgement, but not below the floor.
enum class UpstreamRule : std::uint8_t {
    Judge, ///< The home judges by traffic.
    Trust, ///< Never ejected.
    Aside, ///< Ejected.
    Retire, ///< Gets no new work and leaves.
};

/// Healthy capacity that ejections must leave to a service.
struct FloorRule
{
    std::uint32_t count = 0; ///< Upstreams kept at least; 0 when `share` applies.
    double share = 0.0; ///< Share of the reachable upstreams kept at least, 0 to 1.
    std::uint32_t perFailureDomain = 0; ///< Upstreams kept at least in each failure domain that has as many.
};

/// One service of the document.
struct ServiceRow
{
    std::string name;
    std::string section; ///< Section that defines it.
    DetectionProfile profile = DetectionProfile::Claims;
    FloorRule floor;
    std::uint32_t queueLimit = 64; ///< Requests that may wait at a home for a slot of this service.
};

/// One upstream of the document.
struct UpstreamRow
{
    std::string name;
    std::string section;
    std::uint32_t service = 0; ///< Index into Document::services.
    std::string vm; ///< Its VM; the node of that VM is its home.
    std::string failureDomain;
    std::uint32_t slots = 1; ///< Requests that it runs at the same time.
    UpstreamRule rule = UpstreamRule::Judge;
};

/// Fleet-wide times and shares.
struct Timings
{
    Duration retryHorizon = std::chrono::seconds(300); ///< How long a caller may send again with the same key.
    Duration answerRetention = std::chrono::seconds(60); ///< How long a home keeps the response of non-repeatable work.
    double maxRetireShare = 0.34; ///< Largest share of a service that one revision may retire or remove.
    Duration ejectionBase = std::chrono::seconds(10); ///< First ejection time; doubles with each ejection in a row.
    Duration ejectionMax = std::chrono::seconds(300);
};

/// Owner of one section, for error messages and `galenarackctl explain`.
struct SectionInfo
{
    std::string name;
    std::string owner;
    std::string purpose;
    std::string contact;
    std::string digest; ///< SHA-256 of the section's bytes.
    bool heldBack = false; ///< The latest content had errors, so the previous one is in force.
};

/// An accepted document: immutable tables with their indexes. A request holds one from start to end.
/// DocumentChecker::build() returns it indexed; code that fills in the tables itself calls buildIndexes().
struct Document
{
    std::string fleet;
    std::uint64_t revision = 0;
    std::string digest; ///< Of the manifest and all sections in force.
    std::vector<SectionInfo> sections;
    std::vector<ServiceRow> services;
    std::vector<UpstreamRow> upstreams;
    RouteTable routes;
    AccountTable accounts;
    Timings timings;
    std::string timingsSection; ///< Section that states the timings; empty when they are the defaults.

    /// Builds the indexes behind the lookups below. Call again after a change of services or upstreams;
    /// until then the lookups search the tables from the start.
    void buildIndexes();

    /// @return the index of the service, or nothing
    std::optional<std::uint32_t> findService(std::string_view name) const;

    /// @return the index of the upstream, or nothing
    std::optional<std::uint32_t> findUpstream(std::string_view name) const;

    /// @return indexes of the upstreams of a service, in document order
    std::vector<std::uint32_t> upstreamsOfService(std::uint32_t service) const;

    /// As upstreamsOfService() without an allocation. Needs buildIndexes().
    std::span<const std::uint32_t> upstreamSpan(std::uint32_t service) const;

private:
    /// @return whether the indexes match the tables in size
    bool isIndexed() const;

    NameIndex serviceIndex;
    NameIndex upstreamIndex;
    std::vector<std::uint32_t> upstreamsByService; ///< Indexes of upstreams, grouped by service.
    std::vector<std::uint32_t> firstOfService; ///< Position in upstreamsByService; one entry more than services.
};

} // namespace Galenarack
