#pragma once

#include "loadreport.h"

#include <standins/common/httpclient.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Galenarack::StandIns {

/// Settings of the load generator.
struct LoadSettings
{
    std::vector<Tcp::endpoint> targets; ///< Addresses that receive the requests, in round-robin order.
    double ratePerSecond = 100.0;
    std::chrono::milliseconds duration{10000};
    bool poisson = true; ///< Whether arrivals form a Poisson process; otherwise they are evenly spaced.
    std::string method;
    std::vector<std::string> paths; ///< Request paths, used in round-robin order.
    std::string accountHeader;
    std::string account; ///< Client account of the requests; empty sends no account header.
    std::size_t bodyBytes = 0;
    bool issuedKeys = false; ///< Whether each request carries an idempotency key fetched from the fleet.
    std::uint32_t resends = 0; ///< Maximum number of resends to the next targets while the outcome is not final.
    std::chrono::milliseconds resendDelay{200};
    std::chrono::milliseconds timeout{10000}; ///< Time-out of one attempt.
    std::uint32_t maxInFlight = 4000; ///< Limit of concurrent requests; those beyond it are counted as errors and not sent.
    bool checkToken = true; ///< Whether a 2xx response without the token of its request counts as mismatched.
    std::uint64_t seed = 1;
};

/// Open-loop load generator: requests start at their scheduled times, whether or not earlier ones have been answered.
class LoadGenerator
{
public:
    LoadGenerator(boost::asio::io_context &context, LoadSettings settings);

    /// Sends all requests and waits until each has its outcome.
    boost::asio::awaitable<void> run();

    /// @param withLists see LoadReport::toJson()
    nlohmann::json report(bool withLists) const;

private:
    using Time = std::chrono::steady_clock::time_point;

    /// Result of one attempt.
    struct Attempt
    {
        unsigned status = 0;
        std::string error;
        std::string execution;
        bool mismatched = false;
    };

    boost::asio::awaitable<void> runRequest(std::uint64_t number, Time scheduled);
    boost::asio::awaitable<Attempt> attempt(HttpClient &client, std::uint64_t number, const std::string &key);
    boost::asio::awaitable<std::string> fetchKey(HttpClient &client, const std::string &path);
    HttpRequest makeRequest(std::uint64_t number, const std::string &key) const;
    const std::string &pathOf(std::uint64_t number) const;
    std::string tokenOf(std::uint64_t number) const;

    /// @return whether a resend may still change the outcome without a second run
    bool mayResend(const Attempt &attempt, const std::string &key) const;

    boost::asio::io_context &context;
    LoadSettings settings;
    std::deque<HttpClient> clients;
    std::mt19937_64 random;
    LoadReport loadReport;
    Time start;
    Time end;
    std::uint32_t inFlight = 0;
};

} // namespace Galenarack::StandIns
