#include <standins/common/httpserver.h>
#include <standins/common/program.h>
#include <standins/common/relay.h>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <stdexcept>

DEFINE_string(relays, "", "relays of this process: NAME=LISTEN=TARGET,... with addresses as IPv4:port");
DEFINE_string(control, "127.0.0.1:0", "address of the control port, IPv4:port");
DEFINE_bool(datagrams, false, "also relay UDP on the same addresses");

namespace Galenarack::StandIns {

namespace {

/// The relays of the process and their control port.
///
/// Control: GET /relays, POST /relays/NAME with a JSON object, in which an absent member means no such fault:
/// {"forward_silent", "backward_silent", "existing_only", "delay_ms", "close", "refuse"}
class RelayProcess
{
public:
    explicit RelayProcess(boost::asio::io_context &context)
        : control(context, parseEndpoint(FLAGS_control), [this](const HttpRequest &request) {
            return answerAsJson(request, [this](const HttpRequest &command) {
                return this->handleRequest(command);
            });
        })
    {
        for (const std::string &part : splitList(FLAGS_relays, ',')) {
            const auto [name, addresses] = splitOnce(part, '=');
            const auto [listen, target] = splitOnce(addresses, '=');
            this->relays.try_emplace(std::string(name), context, parseEndpoint(listen), parseEndpoint(target), FLAGS_datagrams);
        }
    }

    void start()
    {
        this->control.open();
        nlohmann::json addresses = {{"control", endpointText(this->control.address())}};
        for (const auto &[name, relay] : this->relays) {
            addresses["relays"][name] = endpointText(relay.address());
        }
        announce(addresses.dump());
    }

private:
    nlohmann::json handleRequest(const HttpRequest &request)
    {
        constexpr std::string_view prefix = "/relays/";
        const Target target(request.target());
        if (request.method() == boost::beast::http::verb::post && target.path.starts_with(prefix)) {
            change(this->relays.at(target.path.substr(prefix.size())), nlohmann::json::parse(request.body()));
        }
        nlohmann::json states;
        for (const auto &[name, relay] : this->relays) {
            states[name] = {{"open", relay.openConnections()}, {"accepted", relay.acceptedConnections()}};
        }
        return states;
    }

    static void change(Relay &relay, const nlohmann::json &change)
    {
        PathFault fault;
        fault.forwardSilent = change.value("forward_silent", false);
        fault.backwardSilent = change.value("backward_silent", false);
        fault.delay = std::chrono::microseconds(static_cast<std::int64_t>(change.value("delay_ms", 0.0) * 1e3));
        relay.setFault(fault, change.value("existing_only", false));
        relay.setAccepting(!change.value("refuse", false));
        if (change.value("close", false)) {
            relay.closeConnections();
        }
    }

    std::map<std::string, Relay, std::less<>> relays;
    HttpServer control;
};

} // namespace

} // namespace Galenarack::StandIns

int main(int argc, char **argv)
{
    using namespace Galenarack::StandIns;
    gflags::SetUsageMessage("stand-in for a network path with injected faults");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    std::optional<RelayProcess> process;
    runProgram("standin-relay", context, [&] {
        process.emplace(context);
        process->start();
    });
}
