#pragma once

#include "platformfleet.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Galenarack {

/// Judges from the outside whether nodes heed what upstreams say of themselves in their answers: the rules LIMIT, and DRAIN by
/// Server-Leaving.
class NoticeJudge
{
public:
    using Clock = std::chrono::steady_clock;
    using Time = Clock::time_point;

    /// LIMIT holds from this time after an upstream has first named its limit (stable-window-ms).
    static constexpr auto settleTime = std::chrono::milliseconds(3000);
    /// Length of the windows of LIMIT, and the requests that they allow beside 1.5 times those of the limit.
    static constexpr auto window = std::chrono::seconds(4);
    static constexpr double factor = 1.5;
    static constexpr double slack = 5;
    /// Time after an answer with a limit was passed on from which the requests of that node count.
    static constexpr auto noticeTime = std::chrono::milliseconds(500);
    /// Time after an answer with Server-Leaving was passed on from which requests that are sent may not reach the upstream (drain-ms).
    static constexpr auto drainTime = std::chrono::milliseconds(2000);

    enum class Disturbance : std::uint8_t {
        Cut, ///< Excuses the node for LIMIT.
        RestartOrFreeze, ///< Excuses the node for both rules.
    };

    /// Records a request that a caller sends to a node.
    void onSent(const std::string &id, unsigned node, Time at);

    /// Records an answer that a node has passed on.
    /// @param upstream index of the upstream that the answer came from
    void onPassedOn(unsigned node, unsigned upstream, const PlatformUpstream::Notice &notice, Time at);

    /// Records a disturbance of a node. What the node has passed on before no longer binds it.
    void onDisturbed(unsigned node, Disturbance disturbance, Time at);

    /// @return violations by the requests that have reached the upstreams, one string each
    std::vector<std::string> violations(const std::vector<std::unique_ptr<PlatformUpstream>> &upstreams) const;

    /// @return number of requests that counted for LIMIT in the last call of violations()
    std::size_t limitedCount() const
    {
        return this->limited;
    }

private:
    struct Sent
    {
        unsigned node = 0;
        Time at;
    };

    struct PassedOn
    {
        Time at;
        PlatformUpstream::Notice notice;
    };

    /// A span in which one lifetime of an upstream names a limit all the time.
    struct LimitedSpan
    {
        Time from; ///< First answer that names it.
        Time to; ///< First answer that names none.
        std::vector<PlatformUpstream::NamedLimit> limits; ///< Limits within the span, the oldest first.
    };

    static std::vector<LimitedSpan> limitedSpans(const PlatformUpstream &upstream);

    /// @return requests that a window from `start` allows
    static double allowed(const LimitedSpan &span, Time start);

    /// @return whether the node has passed on such an answer by `until`, and was not disturbed since
    template<typename Predicate>
    bool isBound(unsigned node, unsigned upstream, Time until, Time arrival, bool isExcusedByCut, Predicate matches) const;

    void checkLimit(unsigned upstream, const PlatformUpstream &record, std::vector<std::string> &found) const;
    void checkLeaving(unsigned upstream, const PlatformUpstream &record, std::vector<std::string> &found) const;

    std::map<std::string, Sent> sent; ///< By request id.
    std::map<std::pair<unsigned, unsigned>, std::vector<PassedOn>> passedOn; ///< By node and upstream.
    std::map<unsigned, std::vector<std::pair<Time, Disturbance>>> disturbances; ///< By node.
    mutable std::size_t limited = 0;
};

} // namespace Galenarack
