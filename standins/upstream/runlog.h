#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack::StandIns {

/// State of one execution of a request.
enum class RunState : std::uint8_t {
    Running,
    Answered, ///< The whole response was written.
    Cut, ///< The run ended, but the connection failed before the whole response was written.
    Cancelled, ///< The peer closed the connection before the run ended.
};

/// One execution of a request by an upstream.
struct Run
{
    std::string upstream;
    std::string requestId; ///< Value of the header galenarack-request-id; empty when absent.
    std::string key; ///< Value of the header idempotency-key; empty when absent.
    std::string method;
    std::string path;
    std::int64_t startUnixMs = 0;
    std::int64_t endUnixMs = 0; ///< Time of the end of the run; 0 while running.
    RunState state = RunState::Running;
    unsigned status = 0; ///< HTTP status of the response; 0 without one.
};

/// Records all runs of the process. Tests count the executions of a request with it.
class RunLog
{
public:
    /// Records the start of a run.
    /// @return handle of the run, for end()
    std::size_t begin(Run run);

    /// Records the end of a run. Ignores handles of runs that clear() removed.
    /// @param status HTTP status of the response; 0 without one
    void end(std::size_t handle, RunState state, unsigned status);

    /// Removes all runs. Handles issued before the call become invalid, and end() ignores them.
    void clear();

    /// Returns the runs with their times, the number of runs by request id and by key, and the number of cut responses.
    nlohmann::json toJson() const;

private:
    std::vector<Run> runs;
    std::size_t firstHandle = 0; ///< Handle of the first element of `runs`.
};

} // namespace Galenarack::StandIns
