#pragma once

#include "childprocess.h"
#include "testhttp.h"

#include <memory>
#include <string>
#include <vector>

namespace Galenarack {

/// A running stand-in program whose addresses are known.
class StandInProcess
{
public:
    /// Starts `program` and waits until it has printed its addresses.
    /// @throws std::runtime_error when the addresses are not printed within 5 s
    StandInProcess(const std::string &program, const std::vector<std::string> &arguments, const std::filesystem::path &errorFile);

    /// @return addresses of the stand-in, e.g. {"control": "127.0.0.1:4711", ...}
    const nlohmann::json &addresses() const
    {
        return this->announced;
    }

    /// Sends a command to the control port and returns the body of the response as JSON, or null when the body is not JSON.
    /// @throws std::runtime_error unless the response has status 200
    nlohmann::json control(const std::string &method, const std::string &target, const std::string &body = {}) const;

    ChildProcess &process()
    {
        return this->child;
    }

private:
    ChildProcess child;
    nlohmann::json announced;
};

/// Runs standin-load, waits for its report and returns it.
/// @param arguments flags other than --output
/// @throws std::runtime_error when standin-load prints no report within `timeout`
nlohmann::json runLoad(const std::vector<std::string> &arguments, std::chrono::milliseconds timeout);

/// A standin-load process that runs concurrently with the test.
class BackgroundLoad
{
public:
    /// Starts standin-load.
    /// @param arguments flags other than --output
    /// @param errorFile file that standard error is appended to
    BackgroundLoad(std::vector<std::string> arguments, const std::filesystem::path &errorFile);

    /// Waits for the report that the load prints at its end, and returns it.
    /// @throws std::runtime_error when no report is printed within `timeout`
    nlohmann::json report(std::chrono::milliseconds timeout);

private:
    ChildProcess child;
};

} // namespace Galenarack
