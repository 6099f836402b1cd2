#include <galenarack/health/pathsystem.h>

#include <algorithm>

namespace Galenarack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A connection that receives no frame for this time after a PING counts as dead.
constexpr Duration silentAge = milliseconds(1500);
/// A path with a PING unanswered for this long is silent even if frames arrive: it may be cut in the outgoing direction only.
constexpr Duration oneWayAge = seconds(4);
/// Age from which an unanswered PING is overdue; round trips take a few milliseconds.
constexpr Duration overdueAge = milliseconds(600);
/// Evidence at which a path becomes degraded, and below which it becomes good again.
constexpr float degradedEvidence = 16.0F;
constexpr float goodEvidence = 2.0F;
/// Minimum number of paths for suspecting a local fault, and the time that the suspicion lasts after the last tick in which more
/// than half of the paths were degraded.
constexpr std::size_t minPaths = 3;
constexpr Duration localFaultHold = seconds(3);
constexpr Duration pauseThreshold = milliseconds(300);

bool isInferred(PathState state)
{
    return state == PathState::Degraded || state == PathState::Silent;
}

} // namespace

PathSystem::PathSystem(PathTable &table)
    : table(table)
{
}

std::span<const PathChange> PathSystem::tick(TimePoint now)
{
    this->changes.clear();
    this->adjustForPause(now);
    this->states.clear();
    for (const PathRow &path : this->table.rows) {
        this->states.push_back(this->evaluate(path, now));
    }
    this->updateLocalFaultSuspicion(this->states, now);
    for (std::uint32_t row = 0; row < this->table.rows.size(); ++row) {
        PathRow &path = this->table.rows[row];
        const PathState state = this->localFaultSuspected && isInferred(this->states[row]) ? PathState::Good : this->states[row];
        if (state != path.state) {
            this->changes.push_back({row, path.state, state});
            path.state = state;
            path.since = now;
        }
    }
    return this->changes;
}

void PathSystem::adjustForPause(TimePoint now)
{
    if (this->ticked && now - this->lastTick > pauseThreshold) {
        // This process paused. Replies may be unread in its sockets, so the pause does not count in the age of unanswered PINGs.
        for (PathRow &path : this->table.rows) {
            if (path.pingSince) {
                path.pingSince = std::min(now, *path.pingSince + (now - this->lastTick));
            }
        }
    }
    this->lastTick = now;
    this->ticked = true;
}

PathState PathSystem::evaluate(const PathRow &path, TimePoint now) const
{
    if (path.connectFailed) {
        return PathState::Cut;
    }
    if (path.helloUnanswered) {
        return PathState::Frozen;
    }
    // Any frame received after the PING shows that the path works; only the reply gives a round trip.
    if (path.pingSince) {
        const Duration age = now - std::max(*path.pingSince, path.hasReceived ? path.lastReceived : *path.pingSince);
        if (age >= silentAge || now - *path.pingSince >= oneWayAge) {
            return PathState::Silent;
        }
        if (age >= overdueAge) {
            return PathState::Degraded;
        }
    }
    const bool wasDegraded = path.state == PathState::Degraded;
    return path.evidence >= (wasDegraded ? goodEvidence : degradedEvidence) ? PathState::Degraded : PathState::Good;
}

void PathSystem::updateLocalFaultSuspicion(std::span<const PathState> states, TimePoint now)
{
    const auto degraded = static_cast<std::size_t>(std::count_if(states.begin(), states.end(), isInferred));
    const bool many = states.size() >= minPaths && 2 * degraded > states.size();
    if (many) {
        this->lastMajorityDegraded = now;
        this->localFaultSuspected = true;
    } else if (this->localFaultSuspected && now - this->lastMajorityDegraded >= localFaultHold) {
        this->localFaultSuspected = false;
    }
}

} // namespace Galenarack
