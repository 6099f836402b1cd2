#include "loadgenerator.h"

#include <standins/common/program.h>

#include <boost/asio/co_spawn.hpp>
#include <gflags/gflags.h>

#include <optional>
#include <stdexcept>

DEFINE_string(targets, "", "addresses that receive the requests in round-robin order: IPv4:port,...");
DEFINE_double(rate, 100.0, "requests per second");
DEFINE_double(duration_s, 10.0, "length of the load in seconds");
DEFINE_string(arrivals, "poisson", "distribution of arrivals: poisson or fixed");
DEFINE_string(path, "/", "request paths used in round-robin order, separated by commas");
DEFINE_string(method, "GET", "HTTP method of the requests");
DEFINE_string(account, "", "client account of the requests");
DEFINE_string(account_header, "galenarack-account", "header that carries the account");
DEFINE_uint64(body_bytes, 0, "length of the request body in bytes");
DEFINE_bool(issued_keys, false, "fetch an idempotency key from the fleet for each request");
DEFINE_uint32(resends, 0, "resends to the next target while the outcome is not final");
DEFINE_uint32(resend_delay_ms, 200, "delay before a resend in milliseconds");
DEFINE_uint32(timeout_ms, 10000, "time-out of one attempt in milliseconds");
DEFINE_uint32(max_in_flight, 4000, "limit of concurrent requests; those beyond it are counted as errors and not sent");
DEFINE_bool(check_token, true, "count a 2xx response without the token of its request as mismatched");
DEFINE_bool(lists, false, "list request ids reported as not run and keys of successful requests");
DEFINE_string(output, "text", "format of the report: text or json (one line)");
DEFINE_uint64(seed, 1, "random seed of the arrivals; also part of each token");

namespace {

Galenarack::StandIns::LoadSettings settingsFromFlags()
{
    using namespace Galenarack::StandIns;
    LoadSettings settings;
    for (const std::string &target : splitList(FLAGS_targets, ',')) {
        settings.targets.push_back(parseEndpoint(target));
    }
    settings.ratePerSecond = FLAGS_rate;
    settings.duration = std::chrono::milliseconds(static_cast<std::int64_t>(FLAGS_duration_s * 1e3));
    settings.poisson = FLAGS_arrivals == "poisson";
    settings.method = FLAGS_method;
    settings.paths = splitList(FLAGS_path, ',');
    settings.account = FLAGS_account;
    settings.accountHeader = FLAGS_account_header;
    settings.bodyBytes = FLAGS_body_bytes;
    settings.issuedKeys = FLAGS_issued_keys;
    settings.resends = FLAGS_resends;
    settings.resendDelay = std::chrono::milliseconds(FLAGS_resend_delay_ms);
    settings.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    settings.maxInFlight = FLAGS_max_in_flight;
    settings.checkToken = FLAGS_check_token;
    settings.seed = FLAGS_seed;
    if (settings.targets.empty() || settings.paths.empty() || settings.ratePerSecond <= 0.0) {
        throw std::invalid_argument("--targets and --path must not be empty, and --rate must be greater than 0");
    }
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace Galenarack::StandIns;
    gflags::SetUsageMessage("open-loop load generator");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    std::optional<LoadGenerator> generator;
    runProgram("standin-load", context, [&] {
        generator.emplace(context, settingsFromFlags());
        boost::asio::co_spawn(context, generator->run(), [&](const std::exception_ptr &error) {
            if (error) {
                std::rethrow_exception(error);
            }
            const nlohmann::json report = generator->report(FLAGS_lists);
            announce(FLAGS_output == "json" ? report.dump() : reportText(report));
            context.stop();
        });
    });
}
