#include "requesttrace.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <iterator>

namespace Galenarack {

namespace {

/// @return milliseconds since the epoch of a time such as 2026-12-04T10:00:00.123Z, or 0
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

/// What an outcome says about the cause, by error kind and outcome of the last attempt. Empty matches all.
struct CauseRow
{
    std::string_view errorKind;
    std::string_view lastOutcome;
    std::string_view cause;
};

constexpr std::array causes = {
    CauseRow{"overloaded", "", "overload: the wait at every upstream that was asked was longer than the request could use; it has not run"},
    CauseRow{"no-upstream", "repeat-limit", "the bound on repeats was used up; the upstreams that were tried did not run it"},
    CauseRow{"no-upstream", "rejected", "the upstreams rejected it; it has not run"},
    CauseRow{"no-upstream", "ejected", "all upstreams that were left are gray; it has not run"},
    CauseRow{"no-upstream", "", "no upstream could be reached or took it; it has not run"},
    CauseRow{"peer-lost", "", "the connection to the home or the upstream ended during the run; it may have run"},
    CauseRow{"timeout", "busy", "it waited for a slot until its time was over"},
    CauseRow{"timeout", "", "the upstream did not answer within the time of the request; it may have run"},
    CauseRow{"not-ready", "", "the node knew no configuration, or could not tell whether its own was the newest; it has not run"},
    CauseRow{"route-not-found", "", "no route of the configuration in force matches"},
    CauseRow{"draining", "", "the node was leaving; it has not run"},
    CauseRow{"cancelled", "", "the caller left"},
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
    // The ingress names the upstream of each attempt that failed, and that of the response.
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
    // Time of the ingress at which a line was known there; the run goes first among equals.
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
        return "no line names this request: it was answered at its first attempt and in time, or never reached a node";
    }
    const auto final = this->finalLine();
    if (final == this->lines.end()) {
        return "no node has told its end: the node of its caller ended first, or its log is not among these";
    }
    if (final->text("message") == "request answered") {
        const bool failed = final->text("status") >= "500";
        return failed ? "the upstream " + final->text("upstream") + " failed it with status " + final->text("status")
                      : "answered after " + final->text("took_ms") + " ms, of which the upstream worked " + final->text("ran_ms")
                            + " ms, with " + final->text("offers") + " offers and " + final->text("arrivals") + " earlier arrivals";
    }
    for (const CauseRow &row : causes) {
        const bool matches
            = final->text("error_kind") == row.errorKind && (row.lastOutcome.empty() || final->text("last_outcome") == row.lastOutcome);
        if (matches) {
            return std::string(row.cause);
        }
    }
    return "refused as " + final->text("error_kind");
}

} // namespace Galenarack
