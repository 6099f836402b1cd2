#include "upstream.h"

#include <standins/common/httpserver.h>
#include <standins/common/program.h>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <optional>
#include <stdexcept>

DEFINE_string(upstreams, "upstream=127.0.0.1:0", "upstreams of this process: NAME=IPv4:port,...");
DEFINE_string(control, "127.0.0.1:0", "address of the control port, IPv4:port");
DEFINE_string(settings, "{}", "JSON object with settings of all upstreams at the start, e.g. {\"slots\": 7}");
DEFINE_uint64(seed, 1, "seed of durations and shares; each upstream adds its position");

namespace Galenarack::StandIns {

namespace {

namespace http = boost::beast::http;

/// The upstreams of the process and their control port.
///
/// GET /upstreams, POST /upstreams/NAME with a JSON object of settings (NAME "all" for each one),
/// GET /runs, POST /reset (forgets runs and counters)
class UpstreamProcess
{
public:
    explicit UpstreamProcess(boost::asio::io_context &context)
        : control(context, parseEndpoint(FLAGS_control), [this](const HttpRequest &request) {
            return this->answer(request);
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
    boost::asio::awaitable<HttpResponse> answer(const HttpRequest &request)
    {
        try {
            co_return makeResponse(request, 200, "application/json", this->answerBody(request).dump());
        } catch (const std::exception &error) {
            co_return makeResponse(request, 400, "text/plain", std::string(error.what()) + "\n");
        }
    }

    nlohmann::json answerBody(const HttpRequest &request)
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

    /// @param path "/upstreams/NAME"
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
            throw std::invalid_argument("no upstream at " + std::string(path));
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
    gflags::SetUsageMessage("stand-in for upstreams with faults on command");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    std::optional<UpstreamProcess> process;
    runProgram("standin-upstream", context, [&] {
        process.emplace(context);
        process->start();
    });
}
