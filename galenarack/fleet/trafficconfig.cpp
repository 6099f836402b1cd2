#include <galenarack/fleet/trafficconfig.h>

#include <galenarack/core/text.h>

#include <algorithm>

namespace Galenarack {

namespace {

std::string_view withoutPort(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool hasPort = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
    return hasPort ? host.substr(0, colon) : host;
}

} // namespace

void TrafficConfig::addRoute(std::string_view host, TrafficRoute route)
{
    this->routesByHost[toLowerAscii(host)].push_back(std::move(route));
}

void TrafficConfig::sortRoutes()
{
    for (auto &[host, routes] : this->routesByHost) {
        std::ranges::stable_sort(routes, std::ranges::greater(), [](const TrafficRoute &route) {
            return route.prefix.size();
        });
    }
}

const TrafficRoute *TrafficConfig::find(std::string_view host, std::string_view target) const
{
    const auto routes = this->routesByHost.find(toLowerAscii(withoutPort(host)));
    if (routes == this->routesByHost.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    const auto route = std::ranges::find_if(routes->second, [path](const TrafficRoute &candidate) {
        return path.starts_with(candidate.prefix);
    });
    return route == routes->second.end() ? nullptr : &*route;
}

bool TrafficConfig::hasService(std::string_view name) const
{
    return this->findService(name) != nullptr;
}

const TrafficService *TrafficConfig::findService(std::string_view name) const
{
    const auto found = std::ranges::find(this->services, name, &TrafficService::name);
    return found == this->services.end() ? nullptr : &*found;
}

std::size_t TrafficConfig::routeCount() const
{
    std::size_t count = 0;
    for (const auto &[host, routes] : this->routesByHost) {
        count += routes.size();
    }
    return count;
}

} // namespace Galenarack
