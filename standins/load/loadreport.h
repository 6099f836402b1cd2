#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Galenarack::StandIns {

/// Outcome of one request of the load, after its last resend.
struct Outcome
{
    std::chrono::steady_clock::duration latency{}; ///< From the scheduled start, which corrects for coordinated omission.
    std::chrono::steady_clock::duration finishedAt{}; ///< From the start of the load.
    unsigned status = 0; ///< 0 without a response.
    std::string error; ///< Header galenarack-error or the way the exchange ended; empty on success.
    std::string execution; ///< Member "execution" of a problem response.
    std::string key; ///< Idempotency key, if any.
    bool mismatched = false; ///< The response belongs to another request.
};

/// Counts and latencies of a load.
class LoadReport
{
public:
    void add(const Outcome &outcome);

    /// Records that the fleet reported this request id as not run.
    void addNotRun(std::string requestId);

    void addResend();

    /// @param withLists adds the request ids reported as not run and the keys that were answered
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

/// @return the table for people
std::string reportText(const nlohmann::json &report);

} // namespace Galenarack::StandIns
