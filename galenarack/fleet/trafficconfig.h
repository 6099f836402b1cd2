#pragma once

#include <galenarack/core/clock.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// One destination of a route with its share of the requests.
struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1; ///< Relative to the other destinations of the route.
};

/// One route: requests of a host whose path begins with the prefix.
struct TrafficRoute
{
    std::string name;
    std::string prefix; ///< Begins and ends with a slash.
    std::vector<WeightedService> destinations; ///< At least one.
    bool idempotent = false; ///< The work may run more than once without harm.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Upstreams that one request may be sent to.
    Duration timeout{}; ///< A caller waits no longer than this for the final response.
    Duration targetLatency{}; ///< A response within this time has its full value.
};

/// One service that routes lead to.
struct TrafficService
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< That one upstream accepts from all callers together.
};

/// What a caller may send, and how long it may take.
struct CallerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// One version of the fleet's traffic configuration; immutable once it is in force.
class TrafficConfig
{
public:
    /// Adds a route of a host. Call sortRoutes() after the last one.
    void addRoute(std::string_view host, TrafficRoute route);

    /// Orders the routes of each host so that find() meets the longest prefix first.
    void sortRoutes();

    /// Selects a route.
    /// @param host value of the Host header; a port is ignored, and so is the case
    /// @param target path with an optional query
    /// @return the route of the host with the longest prefix that begins the path, or null
    const TrafficRoute *find(std::string_view host, std::string_view target) const;

    /// @return routes of all hosts
    std::size_t routeCount() const;

    std::uint64_t version = 0; ///< Grows with each change, in uneven steps.
    std::vector<TrafficService> services;
    CallerLimits limits;

private:
    absl::flat_hash_map<std::string, std::vector<TrafficRoute>> routesByHost;
};

} // namespace Galenarack
