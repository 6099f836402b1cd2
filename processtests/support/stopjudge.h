#pragma once

#include "platformfleet.h"

#include <chrono>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// Judges from the outside whether requests are lost, run twice or falsely refused around planned stops of nodes.
class StopJudge
{
public:
    using Clock = std::chrono::steady_clock;
    using Time = Clock::time_point;
    using Milliseconds = std::chrono::milliseconds;

    /// A node is in touch when it was not started, stopped or killed for this time.
    static constexpr auto settleTime = Milliseconds(3000);
    /// Longest time from the acknowledgement of a draining upstream until it receives no new work.
    static constexpr auto drainDelay = Milliseconds(2000);
    /// Each hop passes the remaining time on in whole milliseconds.
    static constexpr auto deadlineRounding = Milliseconds(5);
    /// A request that is cut within this time may not have been read.
    static constexpr auto lossSlack = Milliseconds(200);
    /// A request may be cut near the end of the grace time only if it was sent this long after the signal at the latest.
    static constexpr auto coveredSendTime = Milliseconds(3000);

    /// One request as its caller observed it.
    struct Observation
    {
        std::string id;
        unsigned node = 0; ///< Node that received the request.
        bool idempotent = true;
        bool isReadSlowly = false; ///< Whether the caller reads the response slowly.
        bool isBehindAnother = false; ///< Whether it was sent before the response to another request on its connection.
        std::string form; ///< Description of the request for messages.
        std::size_t minBodyBytes = 0; ///< Minimum size of the body of a complete response of the upstream.
        Time sent;
        Time ended;
        Milliseconds limit{}; ///< Deadline or timeout of the route, whichever is sooner.
        CallResult result;
    };

    /// @param grace time between SIGTERM and SIGKILL
    explicit StopJudge(Milliseconds grace);

    /// Records that a process received SIGTERM.
    void addStop(unsigned node, Time at);
    /// Records the end of a process that received SIGTERM.
    /// @param exitStatus status as of ChildProcess::wait(), or nothing when it still ran at the end of the grace time
    void addStopEnd(unsigned node, Time signalled, Time ended, std::optional<int> exitStatus);
    /// Records that a process was killed without SIGTERM or before the end of its grace time.
    void addKill(unsigned node, Time at);
    /// Records that the process of a node was started.
    void addStart(unsigned node, Time at);
    /// Records the acknowledgement of an entry of the upstream of a node.
    void addEntry(unsigned node, bool isDraining, Time acknowledged);
    /// Records that the event loop of the test, which runs the callers and relays, was busy from `due` to `at`.
    void addOwnDelay(Time due, Time at);
    /// Records a request that has ended.
    void addObservation(Observation seen);

    /// Judges all requests. All upstreams must have finished their work.
    /// @return descriptions of the violations
    std::vector<std::string> judge(std::span<const std::unique_ptr<PlatformUpstream>> upstreams);

    /// Number of requests by outcome.
    struct Summary
    {
        std::size_t requests = 0;
        std::size_t served = 0; ///< Complete responses of an upstream.
        std::size_t refused = 0; ///< Complete responses of a node.
        std::size_t unread = 0; ///< Connections that ended although no upstream had the request.
        std::size_t excused = 0; ///< Requests at an upstream that ended without its response for an allowed reason.
        std::size_t killedInPause = 0; ///< Processes killed after the test itself stood still when they were to end.
        std::size_t nearEnd = 0; ///< Served requests that ended in the second half of a grace time.
    };
    const Summary &summary() const
    {
        return this->counts;
    }

private:
    struct NodeEvent
    {
        unsigned node = 0;
        Time at;
    };
    struct Entry
    {
        unsigned node = 0;
        bool isDraining = false;
        Time acknowledged;
    };
    /// Work of an upstream on a request.
    struct Run
    {
        unsigned node = 0;
        Time at;
        Time answered;
    };

    struct StopEnd
    {
        unsigned node = 0;
        Time signalled;
        Time ended;
        std::optional<int> exitStatus;
    };

    void judgeStopEnd(const StopEnd &end);
    void report(std::string_view rule, const Observation &seen, std::span<const Run> runs);
    void judgeObservation(const Observation &seen, std::span<const Run> runs);
    void judgeArrivals(unsigned node, const PlatformUpstream &upstream);
    /// @return whether the rules allow that a request at an upstream ended without its response
    bool isExcused(const Observation &seen, std::span<const Run> runs) const;
    bool isCutNearEnd(const Observation &seen, std::span<const Run> runs, const NodeEvent &stop) const;
    /// @return whether a node was started, stopped or killed in the settle time before `time`
    bool isUnsettled(unsigned node, Time time) const;
    /// @return time in which the test itself was busy between two times
    Clock::duration ownDelay(Time from, Time to) const;
    const Observation *find(const std::string &id) const;

    Milliseconds grace;
    std::vector<NodeEvent> stops;
    std::vector<StopEnd> stopEnds;
    std::vector<NodeEvent> kills;
    std::vector<NodeEvent> starts;
    std::vector<Entry> entries;
    std::vector<std::pair<Time, Time>> ownDelays; ///< Start and end, the oldest first.
    std::vector<Observation> observations;
    std::map<std::string, std::size_t> observationIndexes; ///< By request id.
    std::vector<std::string> violations;
    Summary counts;
};

} // namespace Galenarack
