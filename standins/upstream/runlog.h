#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack::StandIns {

/// State of one run of the work behind a request.
enum class RunState : std::uint8_t {
    Running,
    Answered, ///< The whole response was written.
    Cut, ///< The run ended, and the connection broke before the whole response was written.
    Cancelled, ///< The peer closed the connection before the run ended.
};

/// One run of the work behind a request.
struct Run
{
    std::string upstream;
    std::string requestId; ///< Header galenarack-request-id; empty when absent.
    std::string key; ///< Header idempotency-key; empty when absent.
    std::string method;
    std::string path;
    std::int64_t startUnixMs = 0;
    std::int64_t endUnixMs = 0; ///< 0 while running.
    RunState state = RunState::Running;
    unsigned status = 0; ///< HTTP status of the response; 0 without one.
};

/// All runs of the process; tests judge executions by it.
class RunLog
{
public:
    /// @return handle of the new run
    std::size_t begin(Run run);

    void end(std::size_t handle, RunState state, unsigned status);

    /// Forgets all runs; handles from before are ignored.
    void clear();

    /// Runs with their times, counts by request id and by key, and the number of cut responses.
    nlohmann::json toJson() const;

private:
    std::vector<Run> runs;
    std::size_t firstHandle = 0; ///< Handle of runs[0].
};

} // namespace Galenarack::StandIns
