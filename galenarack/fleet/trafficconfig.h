#pragma once

#include <galenarack/core/clock.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// One destination service of a route and its weight.
struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1; ///< Share of the route's requests, relative to the weights of its other destinations.
};

/// One route. It matches the requests of a host whose path begins with the prefix.
struct TrafficRoute
{
    std::string name;
    std::string prefix; ///< Path prefix that the route matches; begins and ends with a slash.
    std::vector<WeightedService> destinations; ///< Services that share the route's requests; never empty.
    bool idempotent = false; ///< Whether the work of a request may run more than once without harm.
    std::uint32_t priority = 0; ///< Priority of the requests; 0 is the highest.
    std::uint32_t maxAttempts = 1; ///< Maximum number of upstreams that one request may be sent to.
    Duration timeout{}; ///< Longest time a caller waits for the final response.
    Duration targetLatency{}; ///< Response time up to which a response has its full value to the caller.
};

/// One service that is the destination of routes.
struct TrafficService
{
    std::string name;
    std::string healthPath; ///< Path of the health check at an upstream of the service.
    std::uint32_t maxConnections = 0; ///< Connections that one upstream accepts from all callers together.
};

/// Limits on the size of a caller's request and on the time that the caller may take to send it.
struct CallerLimits
{
    std::size_t headerBytes = 16 * 1024; ///< Maximum size of the request header, in bytes.
    std::size_t bodyBytes = 1024 * 1024; ///< Maximum size of the request body, in bytes.
    Duration headerTimeout = std::chrono::seconds(3); ///< Longest time to receive a complete header.
    Duration idleTimeout = std::chrono::seconds(15); ///< Time after which an idle connection is closed.
};

/// One version of the fleet's traffic configuration. It is immutable once it is in force.
class TrafficConfig
{
public:
    /// Adds a route of a host. sortRoutes() has to be called after the last route.
    void addRoute(std::string_view host, TrafficRoute route);

    /// Sorts the routes of each host by descending length of their prefix, as find() requires.
    void sortRoutes();

    /// Finds the route of a request.
    /// @param host value of the Host header; its port and the case of its letters are ignored
    /// @param target path with an optional query
    /// @return the route of the host with the longest prefix that matches the path, or null
    const TrafficRoute *find(std::string_view host, std::string_view target) const;

    /// @return whether the configuration has a service of this name
    bool hasService(std::string_view name) const;

    /// @return the service of this name, or null
    const TrafficService *findService(std::string_view name) const;

    /// @return number of routes of all hosts together
    std::size_t routeCount() const;

    std::uint64_t version = 0; ///< Increases with each change, not necessarily by one.
    std::vector<TrafficService> services;
    CallerLimits limits;

private:
    absl::flat_hash_map<std::string, std::vector<TrafficRoute>> routesByHost;
};

} // namespace Galenarack
