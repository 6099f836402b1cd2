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

/// What the load generator sends.
struct LoadSettings
{
    std::vector<Tcp::endpoint> targets; ///< Used in turn.
    double ratePerSecond = 100.0;
    std::chrono::milliseconds duration{10000};
    bool poisson = true; ///< Otherwise arrivals are evenly spaced.
    std::string method;
    std::vector<std::string> paths; ///< Used in turn.
    std::string accountHeader;
    std::string account; ///< Empty sends no account header.
    std::size_t bodyBytes = 0;
    bool issuedKeys = false; ///< Fetch an idempotency key from the fleet for each request.
    std::uint32_t resends = 0; ///< Resends to the next target when the outcome is not final.
    std::chrono::milliseconds resendDelay{200};
    std::chrono::milliseconds timeout{10000}; ///< For one attempt.
    std::uint32_t maxInFlight = 4000; ///< Requests beyond it are counted as errors and not sent.
    bool checkToken = true; ///< A 2xx response must carry the token of its request.
    std::uint64_t seed = 1;
};

/// Open-loop load: requests start at their scheduled times, whether or not earlier ones have been answered.
class LoadGenerator
{
public:
    LoadGenerator(boost::asio::io_context &context, LoadSettings settings);

    /// Sends the whole load and waits for the last response.
    boost::asio::awaitable<void> run();

    /// @param withLists see LoadReport::toJson()
    nlohmann::json report(bool withLists) const;

private:
    using Time = std::chrono::steady_clock::time_point;

    /// One attempt with what the response says.
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
