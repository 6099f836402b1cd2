#include "runlog.h"

#include <standins/common/network.h>

#include <map>

namespace Galenarack::StandIns {

namespace {

std::string_view stateName(RunState state)
{
    switch (state) {
    case RunState::Running:
        return "running";
    case RunState::Answered:
        return "answered";
    case RunState::Cut:
        return "cut";
    case RunState::Cancelled:
        return "cancelled";
    }
    return "";
}

nlohmann::json runToJson(const Run &run)
{
    return {
        {"upstream", run.upstream},
        {"request_id", run.requestId},
        {"key", run.key},
        {"method", run.method},
        {"path", run.path},
        {"start_unix_ms", run.startUnixMs},
        {"end_unix_ms", run.endUnixMs},
        {"state", stateName(run.state)},
        {"status", run.status},
    };
}

} // namespace

std::size_t RunLog::begin(Run run)
{
    run.startUnixMs = unixMilliseconds();
    this->runs.push_back(std::move(run));
    return this->firstHandle + this->runs.size() - 1;
}

void RunLog::end(std::size_t handle, RunState state, unsigned status)
{
    if (handle < this->firstHandle) {
        return;
    }
    Run &run = this->runs[handle - this->firstHandle];
    run.endUnixMs = unixMilliseconds();
    run.state = state;
    run.status = status;
}

void RunLog::clear()
{
    this->firstHandle += this->runs.size();
    this->runs.clear();
}

nlohmann::json RunLog::toJson() const
{
    nlohmann::json list = nlohmann::json::array();
    std::map<std::string, std::uint64_t> byRequestId;
    std::map<std::string, std::uint64_t> byKey;
    std::uint64_t cut = 0;
    for (const Run &run : this->runs) {
        list.push_back(runToJson(run));
        if (!run.requestId.empty()) {
            ++byRequestId[run.requestId];
        }
        if (!run.key.empty()) {
            ++byKey[run.key];
        }
        cut += run.state == RunState::Cut ? 1 : 0;
    }
    return {{"runs", std::move(list)}, {"request_ids", byRequestId}, {"keys", byKey}, {"cut", cut}};
}

} // namespace Galenarack::StandIns
