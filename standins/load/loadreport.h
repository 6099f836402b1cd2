#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Galenarack::StandIns {

/// Outcome of one request, after its last resend.
struct Outcome
{
    std::chrono::steady_clock::duration latency{}; ///< Time since the scheduled start, which avoids coordinated omission.
    std::chrono::steady_clock::duration finishedAt{}; ///< Time since the start of the load.
    unsigned status = 0; ///< HTTP status; 0 without a response.
    std::string error; ///< Value of the header galenarack-error, or how the exchange failed; empty on success.
    std::string execution; ///< Value of the member "execution" of an error response; empty when absent.
    std::string key; ///< Idempotency key; empty without one.
    bool mismatched = false; ///< Whether the response belongs to another request.
};

/// Collects the counts and latencies of a load.
class LoadReport
{
public:
    void add(const Outcome &outcome);

    /// Records that the fleet reported this request id as not run.
    void addNotRun(std::string requestId);

    void addResend();

    /// @param withLists whether to add the request ids reported as not run and the keys of successful requests
    nlohmann::json toJson(std::chrono::steady_clock::duration elapsed, bool withLists) const;

private:
    std::vector<double> latenciesMs;
    std::vector<double> okLatenciesMs;
    std::map<std::string, std::uint64_t> statuses;
    std::map<std::string, std::uint64_t> errors;
    std::map<std::string, std::uint64_t> executions;
    std::vector<std::uint64_t> okBySecond;
    std::vector<std::string> notRunRequestIds;
    std::vector<std::string> okKeys;
    std::uint64_t mismatched = 0;
    std::uint64_t resends = 0;
};

/// @return the report as human-readable text
std::string reportText(const nlohmann::json &report);

} // namespace Galenarack::StandIns
