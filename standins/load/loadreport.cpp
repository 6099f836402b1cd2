#include "loadreport.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace Galenarack::StandIns {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Returns the nearest-rank percentile: the smallest value that at least `share` of the sorted values do not exceed.
/// Returns 0 without values.
double percentile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0.0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

nlohmann::json latencyJson(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {
        {"count", values.size()},
        {"p50", percentile(values, 0.5)},
        {"p99", percentile(values, 0.99)},
        {"p99_9", percentile(values, 0.999)},
        {"max", percentile(values, 1.0)},
    };
}

} // namespace

void LoadReport::add(const Outcome &outcome)
{
    const double latencyMs = Milliseconds(outcome.latency).count();
    this->latenciesMs.push_back(latencyMs);
    ++this->statuses[std::to_string(outcome.status)];
    if (!outcome.error.empty()) {
        ++this->errors[outcome.error];
    }
    if (!outcome.execution.empty()) {
        ++this->executions[outcome.execution];
    }
    this->mismatched += outcome.mismatched ? 1 : 0;
    if (outcome.status < 200 || outcome.status >= 300) {
        return;
    }
    this->okLatenciesMs.push_back(latencyMs);
    const auto second = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(outcome.finishedAt).count());
    this->okBySecond.resize(std::max(this->okBySecond.size(), second + 1));
    ++this->okBySecond[second];
    if (!outcome.key.empty()) {
        this->okKeys.push_back(outcome.key);
    }
}

void LoadReport::addNotRun(std::string requestId)
{
    this->notRunRequestIds.push_back(std::move(requestId));
}

void LoadReport::addResend()
{
    ++this->resends;
}

nlohmann::json LoadReport::toJson(std::chrono::steady_clock::duration elapsed, bool withLists) const
{
    nlohmann::json report = {
        {"requests", this->latenciesMs.size()},
        {"ok", this->okLatenciesMs.size()},
        {"elapsed_s", std::chrono::duration<double>(elapsed).count()},
        {"latency_ms", latencyJson(this->latenciesMs)},
        {"ok_latency_ms", latencyJson(this->okLatenciesMs)},
        {"statuses", this->statuses},
        {"errors", this->errors},
        {"executions", this->executions},
        {"mismatched", this->mismatched},
        {"resends", this->resends},
        {"ok_by_second", this->okBySecond},
    };
    if (withLists) {
        report["not_run_request_ids"] = this->notRunRequestIds;
        report["ok_keys"] = this->okKeys;
    }
    return report;
}

std::string reportText(const nlohmann::json &report)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3);
    for (const char *name : {"latency_ms", "ok_latency_ms"}) {
        const nlohmann::json &latency = report[name];
        text << name << ": count " << latency["count"] << ", p50 " << latency["p50"].get<double>() << ", p99 "
             << latency["p99"].get<double>() << ", p99.9 " << latency["p99_9"].get<double>() << ", max " << latency["max"].get<double>()
             << '\n';
    }
    for (const char *name : {"requests", "ok", "mismatched", "resends", "statuses", "errors", "executions"}) {
        text << name << ": " << report[name].dump() << '\n';
    }
    return text.str();
}

} // namespace Galenarack::StandIns
