#include "configjudge.h"

#include <algorithm>

namespace Galenarack {

namespace {

constexpr unsigned notFound = 404;

std::string millisecondsText(ConfigJudge::Clock::duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
}

} // namespace

void ConfigJudge::addVersion(std::span<const ConfiguredRoute> routes, Time acknowledged)
{
    Version version;
    version.acknowledged = acknowledged;
    for (const ConfiguredRoute &route : routes) {
        version.services[route.prefix] = route.services;
    }
    this->versions.push_back(std::move(version));
}

bool ConfigJudge::allows(const Version &version, const Observation &seen) const
{
    const auto route = version.services.find(seen.prefix);
    if (seen.status == notFound && seen.services.empty()) {
        return route == version.services.end();
    }
    return route != version.services.end() && std::ranges::all_of(seen.services, [&route](const std::string &service) {
               return std::ranges::find(route->second, service) != route->second.end();
           });
}

std::size_t ConfigJudge::newestAt(Time time) const
{
    const auto later = std::ranges::upper_bound(this->versions, time, {}, &Version::acknowledged);
    return later == this->versions.begin() ? 0 : static_cast<std::size_t>(later - this->versions.begin()) - 1;
}

std::string ConfigJudge::describe(const char *rule, const Observation &seen, std::size_t oldest, std::size_t newest) const
{
    std::string text = std::string(rule) + ": " + seen.id + " on " + seen.prefix + " at node " + std::to_string(seen.node) + ", status "
                       + std::to_string(seen.status);
    for (const std::string &service : seen.services) {
        text += ", run by " + service;
    }
    return text + ", versions " + std::to_string(oldest) + " to " + std::to_string(newest) + ", the first acknowledged "
           + millisecondsText(seen.sent - this->versions[oldest].acknowledged) + " before it was sent";
}

std::optional<std::string> ConfigJudge::judge(const Observation &seen)
{
    if (seen.services.empty() && seen.status != notFound) {
        return std::nullopt;
    }
    const std::size_t newest = this->newestAt(seen.ended);
    const auto isAllowedSince = [&](std::size_t oldest) {
        return std::any_of(this->versions.begin() + static_cast<std::ptrdiff_t>(oldest),
                           this->versions.begin() + static_cast<std::ptrdiff_t>(newest) + 1,
                           [&](const Version &version) {
                               return this->allows(version, seen);
                           });
    };
    if (!isAllowedSince(0)) {
        return this->describe(seen.status == notFound ? "DENIED" : "ROUTE", seen, 0, newest);
    }
    if (seen.isInTouch) {
        ++this->judged;
        const std::size_t oldest = this->newestAt(seen.sent - applyTime);
        if (!isAllowedSince(oldest)) {
            return this->describe(seen.status == notFound ? "CONFIG and DENIED" : "CONFIG", seen, oldest, newest);
        }
    }
    std::vector<SeenVersion> &shown = this->seenVersions[{seen.node, seen.nodeStarts}];
    std::size_t reached = 0;
    std::size_t reachedBefore = 0;
    for (const SeenVersion &earlier : shown) {
        reached = std::max(reached, earlier.version);
        if (earlier.at + rollbackSlack < seen.sent) {
            reachedBefore = std::max(reachedBefore, earlier.version);
        }
    }
    if (!isAllowedSince(std::min(reachedBefore, newest))) {
        return this->describe("CONFIG, regress", seen, reachedBefore, newest);
    }
    std::size_t first = reachedBefore;
    while (!this->allows(this->versions[first], seen)) {
        ++first;
    }
    if (first > reached) {
        shown.push_back({seen.ended, first});
    }
    return std::nullopt;
}

} // namespace Galenarack
