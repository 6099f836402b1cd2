#include "configservice.h"

#include <standins/common/program.h>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <optional>

DEFINE_string(listen, "127.0.0.1:0", "addresses for readers, IPv4:port,...; each has its own mode");
DEFINE_string(control, "127.0.0.1:0", "address of the control port, IPv4:port");
DEFINE_string(values_folder, "", "folder whose files are loaded at start; the key is the relative path");
DEFINE_double(max_calls_per_s, 0.0, "calls per second over all readers, above which calls get status 429; 0 means no limit");

int main(int argc, char **argv)
{
    using namespace Galenarack::StandIns;
    gflags::SetUsageMessage("stand-in for the configuration service and its VM list");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    std::optional<ConfigService> service;
    runProgram("standin-configservice", context, [&] {
        ConfigService::Settings settings;
        for (const std::string &address : splitList(FLAGS_listen, ',')) {
            settings.listen.push_back(parseEndpoint(address));
        }
        settings.control = parseEndpoint(FLAGS_control);
        settings.maxCallsPerSecond = FLAGS_max_calls_per_s;
        service.emplace(context, settings);
        if (!FLAGS_values_folder.empty()) {
            service->store().load(FLAGS_values_folder);
        }
        service->start();
        nlohmann::json addresses = {{"control", endpointText(service->controlAddress())}};
        for (const ReaderPort &port : service->readerPorts()) {
            addresses["listen"].push_back(endpointText(port.address()));
        }
        announce(addresses.dump());
    });
}
