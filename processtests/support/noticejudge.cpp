#include "noticejudge.h"

#include <algorithm>

namespace Galenarack {

namespace {

double seconds(NoticeJudge::Clock::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void NoticeJudge::onSent(const std::string &id, unsigned node, Time at)
{
    this->sent[id] = {node, at};
}

void NoticeJudge::onPassedOn(unsigned node, unsigned upstream, const PlatformUpstream::Notice &notice, Time at)
{
    if (notice.hasLimit || notice.saysLeaving) {
        this->passedOn[{node, upstream}].push_back({at, notice});
    }
}

void NoticeJudge::onDisturbed(unsigned node, Disturbance disturbance, Time at)
{
    this->disturbances[node].emplace_back(at, disturbance);
}

std::vector<NoticeJudge::LimitedSpan> NoticeJudge::limitedSpans(const PlatformUpstream &upstream)
{
    std::vector<LimitedSpan> spans;
    std::int64_t startTimeMs = 0;
    bool isOpen = false;
    for (const PlatformUpstream::NamedLimit &named : upstream.namedLimits) {
        if (isOpen && (!named.perSecond || named.startTimeMs != startTimeMs)) {
            spans.back().to = named.at;
            isOpen = false;
        }
        if (named.perSecond && !isOpen) {
            spans.push_back({named.at, Time::max(), {}});
            startTimeMs = named.startTimeMs;
            isOpen = true;
        }
        if (isOpen) {
            spans.back().limits.push_back(named);
        }
    }
    return spans;
}

double NoticeJudge::allowed(const LimitedSpan &span, Time start)
{
    const Time end = start + window;
    double requests = 0;
    for (std::size_t i = 0; i < span.limits.size(); ++i) {
        // A limit that has just changed is known to the nodes a little later, so the higher one counts until then.
        const bool falls = i > 0 && *span.limits[i - 1].perSecond > *span.limits[i].perSecond;
        const bool fallsNext = i + 1 < span.limits.size() && *span.limits[i].perSecond > *span.limits[i + 1].perSecond;
        const Time from = std::max(span.limits[i].at + (falls ? noticeTime : Clock::duration::zero()), start);
        Time to = end;
        if (i + 1 < span.limits.size()) {
            to = std::min(to, span.limits[i + 1].at + (fallsNext ? noticeTime : Clock::duration::zero()));
        }
        requests += *span.limits[i].perSecond * std::max(0.0, seconds(to - from));
    }
    return factor * requests + slack;
}

template<typename Predicate>
bool NoticeJudge::isBound(unsigned node, unsigned upstream, Time until, Time arrival, bool isExcusedByCut, Predicate matches) const
{
    Time excusedUntil = Time::min();
    if (const auto found = this->disturbances.find(node); found != this->disturbances.end()) {
        for (const auto &[at, disturbance] : found->second) {
            if (at <= arrival && (isExcusedByCut || disturbance == Disturbance::RestartOrFreeze)) {
                excusedUntil = std::max(excusedUntil, at);
            }
        }
    }
    const auto answers = this->passedOn.find({node, upstream});
    return answers != this->passedOn.end() && std::ranges::any_of(answers->second, [&](const PassedOn &answer) {
               return answer.at <= until && answer.at > excusedUntil && matches(answer);
           });
}

void NoticeJudge::checkLimit(unsigned upstream, const PlatformUpstream &record, std::vector<std::string> &found) const
{
    for (const LimitedSpan &span : limitedSpans(record)) {
        std::vector<Time> counted;
        for (const PlatformUpstream::Arrival &arrival : record.arrivals) {
            const auto request = this->sent.find(arrival.requestId);
            if (request == this->sent.end() || arrival.at < span.from + settleTime || arrival.at >= span.to) {
                continue;
            }
            const bool isCounted
                = this->isBound(request->second.node, upstream, arrival.at - noticeTime, arrival.at, true, [&span](const PassedOn &answer) {
                      return answer.notice.hasLimit && answer.at >= span.from;
                  });
            if (isCounted) {
                counted.push_back(arrival.at);
            }
        }
        this->limited += counted.size();
        // Windows overlap, so only the worst one of a span is reported.
        double worstExcess = 0;
        std::string worst;
        for (std::size_t first = 0; first < counted.size(); ++first) {
            const auto end = std::ranges::lower_bound(counted, counted[first] + window);
            const auto count = static_cast<double>(end - counted.begin()) - static_cast<double>(first);
            const double most = allowed(span, counted[first]);
            if (count - most > worstExcess) {
                worstExcess = count - most;
                worst = "LIMIT: " + record.id + " got " + std::to_string(static_cast<int>(count)) + " in 4 s, " + std::to_string(most)
                        + " allowed, from " + std::to_string(static_cast<int>(seconds(counted[first] - span.from) * 1000))
                        + " ms after it named a limit";
            }
        }
        if (worstExcess > 0) {
            found.push_back(worst);
        }
    }
}

void NoticeJudge::checkLeaving(unsigned upstream, const PlatformUpstream &record, std::vector<std::string> &found) const
{
    for (const PlatformUpstream::Arrival &arrival : record.arrivals) {
        const auto request = this->sent.find(arrival.requestId);
        if (request == this->sent.end()) {
            continue;
        }
        const auto &[node, at] = request->second;
        const bool isLate = this->isBound(node, upstream, at - drainTime, arrival.at, false, [&arrival](const PassedOn &answer) {
            return answer.notice.saysLeaving && answer.notice.startTimeMs == arrival.startTimeMs;
        });
        if (isLate) {
            found.push_back("DRAIN: " + arrival.requestId + " of node " + std::to_string(node) + " reached " + record.id
                            + " over 2 s after the node had passed on Server-Leaving");
        }
    }
}

std::vector<std::string> NoticeJudge::violations(const std::vector<std::unique_ptr<PlatformUpstream>> &upstreams) const
{
    std::vector<std::string> found;
    this->limited = 0;
    for (unsigned upstream = 0; upstream < upstreams.size(); ++upstream) {
        this->checkLimit(upstream, *upstreams[upstream], found);
        this->checkLeaving(upstream, *upstreams[upstream], found);
    }
    return found;
}

} // namespace Galenarack
