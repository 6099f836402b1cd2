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

/// Trade-off of a service between fast detection of unhealthy upstreams and few false ejections.
enum class DetectionProfile : std::uint8_t {
    Claims, ///< Prefers a short detection time.
    Authority, ///< Prefers few false ejections.
};

/// Operators' rule for an upstream. It takes precedence over the health evaluation, but not over the floor.
enum class UpstreamRule : std::uint8_t {
    Judge, ///< The home evaluates the health of the upstream from its traffic.
    Trust, ///< The upstream is never ejected.
    Aside, ///< The upstream is ejected.
    Retire, ///< The upstream gets no new requests and leaves the service.
};

/// Minimum capacity that ejections must leave to a service.
struct FloorRule
{
    std::uint32_t count = 0; ///< Minimum number of upstreams kept; 0 when `share` applies.
    double share = 0.0; ///< Minimum share of the reachable upstreams kept, 0 to 1.
    std::uint32_t perFailureDomain = 0; ///< Minimum number of upstreams kept in each failure domain that has as many.
};

/// One service of the document.
struct ServiceRow
{
    std::string name;
    std::string section; ///< Name of the section that defines the service.
    DetectionProfile profile = DetectionProfile::Claims;
    FloorRule floor;
    std::uint32_t queueLimit = 64; ///< Maximum number of requests that wait at a home for a slot of this service.
};

/// One upstream of the document.
struct UpstreamRow
{
    std::string name;
    std::string section;
    std::uint32_t service = 0; ///< Index into Document::services.
    std::string vm; ///< VM of the upstream; the node on this VM is the home of the upstream.
    std::string failureDomain;
    std::uint32_t slots = 1; ///< Maximum number of requests that the upstream runs at the same time.
    UpstreamRule rule = UpstreamRule::Judge;
};

/// Fleet-wide durations and limits.
struct Timings
{
    Duration retryHorizon = std::chrono::seconds(300); ///< Time during which a caller may repeat a request with the same idempotency key.
    Duration answerRetention = std::chrono::seconds(60); ///< Time during which a home keeps the response of a non-repeatable request.
    double maxRetireShare = 0.34; ///< Largest share of the upstreams of a service that one revision may retire or remove, 0 to 1.
    Duration ejectionBase = std::chrono::seconds(10); ///< Duration of the first ejection; doubles with each consecutive ejection.
    Duration ejectionMax = std::chrono::seconds(300); ///< Upper limit of the duration of an ejection.
};

/// Header of one section, for error messages and `galenarackctl explain`.
struct SectionInfo
{
    std::string name;
    std::string owner;
    std::string purpose;
    std::string contact;
    std::string digest; ///< SHA-256 of the section's bytes.
    bool heldBack = false; ///< Whether the previous content is in force because the latest has errors.
};

/// An accepted document: immutable tables with their indexes. Each request keeps the same document from start to end.
/// DocumentChecker::build() returns an indexed document; code that fills in the tables itself must call buildIndexes().
struct Document
{
    std::string fleet;
    std::uint64_t revision = 0;
    std::string digest; ///< SHA-256 over the manifest digest and the digests of all sections in force.
    std::vector<SectionInfo> sections;
    std::vector<ServiceRow> services;
    std::vector<UpstreamRow> upstreams;
    RouteTable routes;
    AccountTable accounts;
    Timings timings;
    std::string timingsSection; ///< Name of the section that states the timings; empty when they are the defaults.

    /// Builds the indexes for the lookups below. Must be called again after a change of services or upstreams. While the sizes of the
    /// indexes and the tables differ, the lookups search the tables linearly.
    void buildIndexes();

    /// @return the index of the service, or nothing
    std::optional<std::uint32_t> findService(std::string_view name) const;

    /// @return the index of the upstream, or nothing
    std::optional<std::uint32_t> findUpstream(std::string_view name) const;

    /// @return indexes of the upstreams of a service, in document order
    std::vector<std::uint32_t> upstreamsOfService(std::uint32_t service) const;

    /// Same as upstreamsOfService(), but without an allocation. Requires buildIndexes().
    std::span<const std::uint32_t> upstreamSpan(std::uint32_t service) const;

private:
    /// @return whether the sizes of the indexes match those of the tables
    bool isIndexed() const;

    NameIndex serviceIndex;
    NameIndex upstreamIndex;
    std::vector<std::uint32_t> upstreamsByService; ///< Indexes of upstreams, grouped by service.
    std::vector<std::uint32_t> firstOfService; ///< Position of each service's first entry in upstreamsByService, followed by the total.
};

} // namespace Galenarack
