#include "standinprocess.h"

#include <stdexcept>
#include <utility>

namespace Galenarack {

namespace {

constexpr auto startTimeout = std::chrono::milliseconds(5000);

std::vector<std::string> withJsonOutput(std::vector<std::string> arguments)
{
    arguments.emplace_back("--output=json");
    return arguments;
}

} // namespace

StandInProcess::StandInProcess(const std::string &program,
                               const std::vector<std::string> &arguments,
                               const std::filesystem::path &errorFile)
    : child(programPath(program), arguments, errorFile)
{
    const auto line = this->child.readLine(startTimeout);
    if (!line) {
        throw std::runtime_error(program + " printed no addresses within 5 s, see " + errorFile.string());
    }
    this->announced = nlohmann::json::parse(*line);
}

nlohmann::json StandInProcess::control(const std::string &method, const std::string &target, const std::string &body) const
{
    TestRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    const TestReply reply = sendRequest(this->announced.at("control").get<std::string>(), request);
    if (reply.status != 200) {
        throw std::runtime_error(method + " " + target + ": " + reply.describe());
    }
    return reply.json();
}

nlohmann::json runLoad(const std::vector<std::string> &arguments, std::chrono::milliseconds timeout)
{
    return BackgroundLoad(arguments, "/dev/stderr").report(timeout);
}

BackgroundLoad::BackgroundLoad(std::vector<std::string> arguments, const std::filesystem::path &errorFile)
    : child(programPath("standin-load"), withJsonOutput(std::move(arguments)), errorFile)
{
}

nlohmann::json BackgroundLoad::report(std::chrono::milliseconds timeout)
{
    const auto line = this->child.readLine(timeout);
    if (!line) {
        throw std::runtime_error("standin-load printed no report within the time-out");
    }
    return nlohmann::json::parse(*line);
}

} // namespace Galenarack
