#include "upstream.h"

#include <standins/common/httpserver.h>
#include <standins/common/program.h>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <optional>
#include <stdexcept>

DEFINE_string(upstreams, "upstream=127.0.0.1:0", "upstreams served by this process: NAME=IPv4:port,...");
DEFINE_string(control, "127.0.0.1:0", "address of the control port, IPv4:port");
DEFINE_string(settings, "{}", "JSON object with the initial settings of all upstreams, e.g. {\"slots\": 7}");
DEFINE_uint64(seed, 1, "random seed of run durations and injected faults; each upstream adds its index");

namespace Galenarack::StandIns {

namespace {

namespace http = boost::beast::http;

/// Runs the upstreams of the process and serves their control port:
///
/// GET /upstreams, POST /upstreams/NAME with a JSON object of settings (NAME "all" changes every upstream),
/// GET /runs, POST /reset (clears runs and counters).
class UpstreamProcess
{
public:
    explicit UpstreamProcess(boost::asio::io_context &context)
        : control(context, parseEndpoint(FLAGS_control), [this](const HttpRequest &request) {
            return answerAsJson(request, [this](const HttpRequest &command) {
                return this->answer(command);
            });
        })
    {
        UpstreamSettings settings;
        applyChange(settings, nlohmann::json::parse(FLAGS_settings));
        for (const std::string &part : splitList(FLAGS_upstreams, ',')) {
            const auto [name, address] = splitOnce(part, '=');
            this->upstreams.emplace_back(
                context, std::string(name), parseEndpoint(address), settings, FLAGS_seed + this->upstreams.size(), this->runs);
        }
    }

    void start()
    {
        this->control.open();
        nlohmann::json addresses = {{"control", endpointText(this->control.address())}};
        for (Upstream &upstream : this->upstreams) {
            upstream.start();
            addresses["upstreams"][upstream.name()] = endpointText(upstream.address());
        }
        announce(addresses.dump());
    }

private:
    nlohmann::json answer(const HttpRequest &request)
    {
        const Target target(request.target());
        if (target.path == "/runs") {
            return this->runs.toJson();
        }
        if (target.path == "/reset") {
            this->runs.clear();
            for (Upstream &upstream : this->upstreams) {
                upstream.resetCounters();
            }
            return nlohmann::json::object();
        }
        if (request.method() == http::verb::post) {
            this->change(target.path, nlohmann::json::parse(request.body()));
        }
        nlohmann::json states;
        for (const Upstream &upstream : this->upstreams) {
            states[upstream.name()] = upstream.toJson();
        }
        return states;
    }

    /// Changes the settings of the upstreams that `path` selects.
    /// @param path "/upstreams/NAME" or "/upstreams/all"
    /// @throws std::invalid_argument when no upstream has this name
    void change(std::string_view path, const nlohmann::json &change)
    {
        bool found = false;
        for (Upstream &upstream : this->upstreams) {
            if (path == "/upstreams/all" || path == "/upstreams/" + upstream.name()) {
                upstream.change(change);
                found = true;
            }
        }
        if (!found) {
            throw std::invalid_argument("no upstream matches the path " + std::string(path));
        }
    }

    RunLog runs;
    std::deque<Upstream> upstreams;
    HttpServer control;
};

} // namespace

} // namespace Galenarack::StandIns

int main(int argc, char **argv)
{
    using namespace Galenarack::StandIns;
    gflags::SetUsageMessage("simulated upstreams with injectable faults");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    std::optional<UpstreamProcess> process;
    runProgram("standin-upstream", context, [&] {
        process.emplace(context);
        process->start();
    });
}
