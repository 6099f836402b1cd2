#include "stopjudge.h"

#include <algorithm>
#include <array>

namespace Galenarack {

namespace {

/// Statuses which state that a request has not run and never will.
constexpr std::array<unsigned, 4> notRunStatuses = {503, 429, 408, 421};

/// A leaving process ends by itself in this time before the end of its grace time.
constexpr auto exitMargin = StopJudge::Milliseconds(300);
/// A machine on which the test stands still for so long of this time does not run the process either.
constexpr auto pauseOfMachine = StopJudge::Milliseconds(100);

/// Shorter delays of the test itself are not counted.
constexpr auto minOwnDelay = StopJudge::Milliseconds(20);

std::string milliseconds(StopJudge::Clock::duration time)
{
    return std::to_string(std::chrono::duration_cast<StopJudge::Milliseconds>(time).count()) + " ms";
}

bool isNotRunStatus(unsigned status)
{
    return std::ranges::find(notRunStatuses, status) != notRunStatuses.end();
}

bool isComplete(const StopJudge::Observation &seen)
{
    return seen.result.end == StandIns::ExchangeEnd::Complete;
}

} // namespace

StopJudge::StopJudge(Milliseconds grace)
    : grace(grace)
{
}

void StopJudge::addStop(unsigned node, Time at)
{
    this->stops.push_back({node, at});
}

void StopJudge::addStopEnd(unsigned node, Time signalled, Time ended, std::optional<int> exitStatus)
{
    this->stopEnds.push_back({node, signalled, ended, exitStatus});
}

void StopJudge::judgeStopEnd(const StopEnd &end)
{
    std::string name = "node " + std::to_string(end.node);
    for (const NodeEvent &start : this->starts) {
        if (start.node == end.node && start.at < end.signalled) {
            name += ", started " + milliseconds(end.signalled - start.at) + " before SIGTERM,";
        }
    }
    const Clock::duration pause = this->ownDelay(end.signalled + this->grace - exitMargin, end.ended);
    if (!end.exitStatus && pause >= pauseOfMachine) {
        ++this->counts.killedInPause;
    } else if (!end.exitStatus) {
        this->violations.push_back(name + " still ran " + milliseconds(end.ended - end.signalled)
                                   + " after SIGTERM and was killed, the test was busy for " + milliseconds(pause));
    } else if (*end.exitStatus != 0) {
        this->violations.push_back(name + " ended with status " + std::to_string(*end.exitStatus) + " after SIGTERM");
    }
}

void StopJudge::addKill(unsigned node, Time at)
{
    this->kills.push_back({node, at});
}

void StopJudge::addStart(unsigned node, Time at)
{
    this->starts.push_back({node, at});
}

void StopJudge::addEntry(unsigned node, bool isDraining, Time acknowledged)
{
    this->entries.push_back({node, isDraining, acknowledged});
}

void StopJudge::addOwnDelay(Time due, Time at)
{
    if (at - due >= minOwnDelay) {
        this->ownDelays.emplace_back(due, at);
    }
}

StopJudge::Clock::duration StopJudge::ownDelay(Time from, Time to) const
{
    Clock::duration sum{};
    for (const auto &[begin, end] : this->ownDelays) {
        sum += std::max(std::min(end, to) - std::max(begin, from), Clock::duration::zero());
    }
    return sum;
}

void StopJudge::addObservation(Observation seen)
{
    this->observationIndexes[seen.id] = this->observations.size();
    this->observations.push_back(std::move(seen));
}

const StopJudge::Observation *StopJudge::find(const std::string &id) const
{
    const auto index = this->observationIndexes.find(id);
    return index == this->observationIndexes.end() ? nullptr : &this->observations[index->second];
}

bool StopJudge::isUnsettled(unsigned node, Time time) const
{
    const auto isRecent = [node, time](const NodeEvent &event) {
        return event.node == node && event.at <= time && time < event.at + settleTime;
    };
    return std::ranges::any_of(this->stops, isRecent) || std::ranges::any_of(this->kills, isRecent)
           || std::ranges::any_of(this->starts, isRecent);
}

bool StopJudge::isCutNearEnd(const Observation &seen, std::span<const Run> runs, const NodeEvent &stop) const
{
    const Time lastSixth = stop.at + this->grace * 5 / 6;
    // The upstream sends its response, and the caller reads it, only when the test is not busy.
    const auto isAtWork = [&](const Run &run) {
        return run.answered + this->ownDelay(run.answered, seen.ended) > lastSixth;
    };
    const bool wasAtWork = seen.isReadSlowly || std::ranges::any_of(runs, isAtWork);
    return wasAtWork && seen.sent <= stop.at + coveredSendTime && seen.ended >= lastSixth && seen.sent < stop.at + this->grace;
}

bool StopJudge::isExcused(const Observation &seen, std::span<const Run> runs) const
{
    const auto concerns = [&seen, runs](const NodeEvent &event) {
        return event.node == seen.node || std::ranges::any_of(runs, [&event](const Run &run) {
                   return run.node == event.node;
               });
    };
    return seen.ended >= seen.sent + seen.limit - deadlineRounding
           || std::ranges::any_of(this->stops,
                                  [&](const NodeEvent &stop) {
                                      return concerns(stop) && this->isCutNearEnd(seen, runs, stop);
                                  })
           || std::ranges::any_of(this->kills, [&](const NodeEvent &kill) {
                  return concerns(kill) && seen.sent <= kill.at + settleTime && kill.at <= seen.ended;
              });
}

void StopJudge::report(std::string_view rule, const Observation &seen, std::span<const Run> runs)
{
    std::string text = std::string(rule) + ": " + seen.id + " (" + seen.form + ") at node " + std::to_string(seen.node) + ", "
                       + std::string(StandIns::exchangeEndName(seen.result.end)) + " " + std::to_string(seen.result.status)
                       + (seen.result.isSigned ? " sealed" : "") + " after " + milliseconds(seen.ended - seen.sent);
    for (const Run &run : runs) {
        text += ", run at node " + std::to_string(run.node) + " from " + milliseconds(run.at - seen.sent) + " to "
                + milliseconds(run.answered - seen.sent);
    }
    for (const NodeEvent &stop : this->stops) {
        if (stop.at <= seen.ended && seen.sent <= stop.at + this->grace) {
            text += ", SIGTERM of node " + std::to_string(stop.node) + " at " + milliseconds(stop.at - seen.sent);
        }
    }
    text += ", of this the test was busy for " + milliseconds(this->ownDelay(seen.sent, seen.ended));
    const auto sent = std::chrono::duration_cast<Milliseconds>(seen.sent.time_since_epoch()).count();
    this->violations.push_back(text + ", sent at " + std::to_string(sent));
}

void StopJudge::judgeObservation(const Observation &seen, std::span<const Run> runs)
{
    const CallResult &result = seen.result;
    const bool isServed = isComplete(seen) && result.isSigned;
    ++this->counts.requests;
    this->counts.served += isServed ? 1 : 0;
    this->counts.refused += isComplete(seen) && !result.isSigned ? 1 : 0;
    if (!seen.idempotent && runs.size() > 1) {
        this->report("run twice", seen, runs);
    }
    if (isServed) {
        const bool isOwn = result.echoedId == seen.id && result.body.starts_with("ran " + seen.id) && !runs.empty();
        if (!isOwn || result.body.size() < seen.minBodyBytes) {
            this->report("wrong response", seen, runs);
        }
        this->counts.nearEnd
            += std::ranges::any_of(this->stops,
                                   [&](const NodeEvent &stop) {
                                       return seen.ended >= stop.at + this->grace / 2 && seen.ended <= stop.at + this->grace;
                                   })
                   ? 1
                   : 0;
        return;
    }
    if (isComplete(seen) && result.status / 100 == 2) {
        this->report("unsealed success", seen, runs);
    }
    if (!runs.empty()) {
        if (!seen.idempotent && isNotRunStatus(result.status)) {
            this->report("refused and run", seen, runs);
        } else if (this->isExcused(seen, runs)) {
            ++this->counts.excused;
        } else {
            this->report("lost at an upstream", seen, runs);
        }
        return;
    }
    const bool isCut = result.end == StandIns::ExchangeEnd::ConnectionLost || result.end == StandIns::ExchangeEnd::ResponseCut;
    this->counts.unread += isCut ? 1 : 0;
    const bool mayBeUnread = result.end == StandIns::ExchangeEnd::ConnectionLost
                             && (seen.isBehindAnother || seen.ended - seen.sent - this->ownDelay(seen.sent, seen.ended) <= lossSlack);
    if (isCut && !mayBeUnread && !this->isExcused(seen, runs)) {
        this->report("lost in a node", seen, runs);
    }
}

void StopJudge::judgeArrivals(unsigned node, const PlatformUpstream &upstream)
{
    for (const PlatformUpstream::Arrival &arrival : upstream.arrivals) {
        const Entry *newest = nullptr;
        for (const Entry &entry : this->entries) {
            newest = entry.node == node && entry.acknowledged <= arrival.at ? &entry : newest;
        }
        const Observation *seen = this->find(arrival.requestId);
        if (newest == nullptr || !newest->isDraining || arrival.at <= newest->acknowledged + drainDelay || seen == nullptr) {
            continue;
        }
        if (!this->isUnsettled(seen->node, arrival.at) && !this->isUnsettled(node, arrival.at)) {
            this->report("sent to node " + std::to_string(node) + " " + milliseconds(arrival.at - newest->acknowledged)
                             + " after its upstream began to drain",
                         *seen,
                         {});
        }
    }
}

std::vector<std::string> StopJudge::judge(std::span<const std::unique_ptr<PlatformUpstream>> upstreams)
{
    std::map<std::string, std::vector<Run>> runs;
    for (unsigned node = 0; node < upstreams.size(); ++node) {
        for (const PlatformUpstream::Arrival &arrival : upstreams[node]->arrivals) {
            if (arrival.isRun) {
                runs[arrival.requestId].push_back({node, arrival.at, arrival.answered.value_or(Time::max())});
            }
        }
        this->judgeArrivals(node, *upstreams[node]);
    }
    for (const StopEnd &end : this->stopEnds) {
        this->judgeStopEnd(end);
    }
    for (const Observation &seen : this->observations) {
        this->judgeObservation(seen, runs[seen.id]);
    }
    return this->violations;
}

} // namespace Galenarack
