#include "requesttrace.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <iterator>

namespace Galenarack {

namespace {

/// @return milliseconds since the Unix epoch of a time such as 2026-12-04T10:00:00.123Z; 0 when it cannot be parsed
std::int64_t parseTime(const std::string &text)
{
    std::tm parts{};
    int milliseconds = 0;
    const int fields = std::sscanf(text.c_str(),
                                   "%d-%d-%dT%d:%d:%d.%3dZ",
                                   &parts.tm_year,
                                   &parts.tm_mon,
                                   &parts.tm_mday,
                                   &parts.tm_hour,
                                   &parts.tm_min,
                                   &parts.tm_sec,
                                   &milliseconds);
    constexpr int fieldCount = 7;
    if (fields != fieldCount) {
        return 0;
    }
    constexpr int tmEpochYear = 1900;
    parts.tm_year -= tmEpochYear;
    --parts.tm_mon;
    return static_cast<std::int64_t>(timegm(&parts)) * 1000 + milliseconds;
}

bool isHomeLine(const TraceLine &line)
{
    return line.text("component") == "home";
}

/// Explanation for an error kind and the outcome of the last attempt. An empty `lastOutcome` matches all outcomes.
struct CauseRow
{
    std::string_view errorKind;
    std::string_view lastOutcome;
    std::string_view cause;
};

constexpr std::array causes = {
    CauseRow{"overloaded",
             "",
             "overload: the expected wait at every upstream tried exceeded the time left to the request; the request did not run"},
    CauseRow{"no-upstream",
             "repeat-limit",
             "the retry allowance of the upstreams was used up; the upstreams that were tried did not run the request"},
    CauseRow{"no-upstream", "rejected", "the upstreams rejected the request; it did not run"},
    CauseRow{"no-upstream", "ejected", "all remaining upstreams were considered unhealthy or refused connections; the request did not run"},
    CauseRow{"no-upstream", "", "no upstream was reachable and accepted the request; the request did not run"},
    CauseRow{"peer-lost", "", "the connection to the home or the upstream was lost during execution; the request may have run"},
    CauseRow{"upstream-answer-ambiguous",
             "",
             "the upstream failed the request with a status that implies that it has not run, without saying so; the request may have run"},
    CauseRow{"timeout", "busy", "the request waited for a slot until its deadline"},
    CauseRow{"timeout", "", "the upstream did not respond before the deadline; the request may have run"},
    CauseRow{"not-ready",
             "",
             "the node had no configuration, or could not verify that its configuration was the latest; the request did not run"},
    CauseRow{"route-not-found", "", "no route of the configuration in force matches the request"},
    CauseRow{"draining", "", "the node was draining; the request did not run"},
    CauseRow{"cancelled", "", "the caller cancelled the request or disconnected"},
};

} // namespace

std::string TraceLine::text(std::string_view field) const
{
    const auto found = this->fields.find(field);
    if (found == this->fields.end()) {
        return {};
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

RequestTrace::RequestTrace(std::string requestId)
    : requestId(std::move(requestId))
{
}

void RequestTrace::read(const std::string &log, std::istream &input)
{
    std::string text;
    while (std::getline(input, text)) {
        const std::size_t begin = text.find('{');
        if (begin == std::string::npos || text.find(this->requestId) == std::string::npos) {
            continue;
        }
        TraceLine line;
        line.fields = nlohmann::ordered_json::parse(text.substr(begin), nullptr, false);
        if (!line.fields.is_object() || line.text("request_id") != this->requestId) {
            continue;
        }
        line.log = log;
        line.timeMs = parseTime(line.text("time"));
        this->lines.push_back(std::move(line));
    }
}

const TraceLine *RequestTrace::ingressLineFor(const TraceLine &run) const
{
    // The ingress logs the upstream of each failed attempt, and the upstream of the response.
    const std::string upstream = run.text("upstream");
    for (const TraceLine &line : this->lines) {
        if (!isHomeLine(line) && line.text("upstream") == upstream) {
            return &line;
        }
    }
    const auto last = this->finalLine();
    return last == this->lines.end() ? nullptr : &*last;
}

std::vector<TraceLine>::const_iterator RequestTrace::finalLine() const
{
    auto final = this->lines.end();
    for (auto line = this->lines.begin(); line != this->lines.end(); ++line) {
        const std::string message = line->text("message");
        if (message == "request refused" || message == "request answered") {
            final = line;
        }
    }
    return final;
}

const std::vector<TraceLine> &RequestTrace::orderedLines()
{
    // A run sorts no later than the ingress line that reports its result, and before other lines of the same time.
    const auto key = [this](const TraceLine &line) {
        const TraceLine *ingressLine = isHomeLine(line) ? this->ingressLineFor(line) : nullptr;
        const std::int64_t latest = ingressLine == nullptr ? line.timeMs : ingressLine->timeMs;
        return std::pair(std::min(line.timeMs, latest), isHomeLine(line) ? 0 : 1);
    };
    std::vector<std::pair<std::pair<std::int64_t, int>, std::size_t>> order;
    for (std::size_t i = 0; i < this->lines.size(); ++i) {
        order.emplace_back(key(this->lines[i]), i);
    }
    std::ranges::stable_sort(order);
    std::vector<TraceLine> sorted;
    sorted.reserve(order.size());
    for (const auto &[ignored, index] : order) {
        sorted.push_back(std::move(this->lines[index]));
    }
    this->lines = std::move(sorted);
    return this->lines;
}

std::int64_t RequestTrace::skewMs(const TraceLine &line) const
{
    const TraceLine *ingressLine = isHomeLine(line) ? this->ingressLineFor(line) : nullptr;
    return ingressLine == nullptr ? 0 : std::max<std::int64_t>(line.timeMs - ingressLine->timeMs, 0);
}

std::string RequestTrace::cause() const
{
    if (this->lines.empty()) {
        return "no log line has this request id: the request was answered on the first attempt within its latency target, or never reached "
               "a node";
    }
    const auto final = this->finalLine();
    if (final == this->lines.end()) {
        return "no log line states the outcome: the ingress stopped before the request ended, or its log is missing";
    }
    if (final->text("message") == "request answered") {
        const bool failed = final->text("status") >= "500";
        return failed ? "upstream " + final->text("upstream") + " answered with status " + final->text("status")
                      : "answered after " + final->text("took_ms") + " ms, upstream execution time " + final->text("ran_ms") + " ms, "
                            + final->text("offers") + " offers, received by " + final->text("arrivals") + " other upstreams before";
    }
    for (const CauseRow &row : causes) {
        const bool matches
            = final->text("error_kind") == row.errorKind && (row.lastOutcome.empty() || final->text("last_outcome") == row.lastOutcome);
        if (matches) {
            return std::string(row.cause);
        }
    }
    return "refused with error kind " + final->text("error_kind");
}

} // namespace Galenarack
