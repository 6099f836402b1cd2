#pragma once

#include "childprocess.h"
#include "testhttp.h"

#include <memory>
#include <string>
#include <vector>

namespace Galenarack {

/// A stand-in that has announced its addresses.
class StandInProcess
{
public:
    /// Starts `program` and waits for its line with addresses.
    /// @throws std::runtime_error when the line does not come within 5 s
    StandInProcess(const std::string &program, const std::vector<std::string> &arguments, const std::filesystem::path &errorFile);

    /// The announced line, e.g. {"control": "127.0.0.1:4711", ...}.
    const nlohmann::json &addresses() const
    {
        return this->announced;
    }

    /// Sends a command to the control port and returns the JSON of its response, if any.
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

/// Runs standin-load to its end and returns its report.
/// @param arguments flags other than --output
/// @throws std::runtime_error when it fails or takes longer than `timeout`
nlohmann::json runLoad(const std::vector<std::string> &arguments, std::chrono::milliseconds timeout);

/// A load that runs beside the test.
class BackgroundLoad
{
public:
    /// @param errorFile gets standard error
    BackgroundLoad(std::vector<std::string> arguments, const std::filesystem::path &errorFile);

    /// Waits for the end of the load and returns its report.
    nlohmann::json report(std::chrono::milliseconds timeout);

private:
    ChildProcess child;
};

} // namespace Galenarack
