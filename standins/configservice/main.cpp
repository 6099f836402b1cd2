#include "configservice.h"

#include <standins/common/program.h>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <optional>

DEFINE_string(listen, "127.0.0.1:0", "address for readers, IPv4:port");
DEFINE_string(control, "127.0.0.1:0", "address of the control port, IPv4:port");
DEFINE_string(values_folder, "", "folder whose files are loaded at start; the key is the relative path");
DEFINE_double(max_calls_per_s, 0.0, "calls a second over all readers; more get 429; 0 means no limit");

int main(int argc, char **argv)
{
    using namespace Galenarack::StandIns;
    gflags::SetUsageMessage("stand-in for the configuration service with VM list");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    std::optional<ConfigService> service;
    runProgram("standin-configservice", context, [&] {
        service.emplace(context, ConfigService::Settings{parseEndpoint(FLAGS_listen), parseEndpoint(FLAGS_control), FLAGS_max_calls_per_s});
        if (!FLAGS_values_folder.empty()) {
            service->store().load(FLAGS_values_folder);
        }
        service->start();
        const nlohmann::json addresses = {
            {"listen", endpointText(service->readerAddress())},
            {"control", endpointText(service->controlAddress())},
        };
        announce(addresses.dump());
    });
}
