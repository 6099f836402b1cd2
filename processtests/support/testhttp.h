#pragma once

#include <standins/common/httpclient.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <utility>
#include <vector>

namespace Galenarack {

/// An HTTP request that a test sends.
struct TestRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::milliseconds timeout{5000};
};

/// The parts of an HTTP response that tests check.
struct TestReply
{
    StandIns::ExchangeEnd end = StandIns::ExchangeEnd::Complete;
    unsigned status = 0; ///< HTTP status code, or 0 when `end` is not Complete.
    std::string body;
    std::string error; ///< Value of the header galenarack-error.
    std::chrono::steady_clock::duration elapsed{}; ///< Time from the start of the request to the end of the exchange.

    /// @return body as JSON; null when it is not JSON
    nlohmann::json json() const;

    /// @return member "execution" of a problem response, or an empty string
    std::string execution() const;

    /// @return description of the reply for assertion messages
    std::string describe() const;
};

/// Sends one request over a new connection and waits for the response or the time-out of the request.
/// @param address "IPv4:port"
TestReply sendRequest(const std::string &address, const TestRequest &request);

/// Sends one request in a thread of its own, without blocking the caller.
std::future<TestReply> sendAsync(const std::string &address, const TestRequest &request);

/// Polls `condition` every 10 ms until it holds or `timeout` has passed.
/// @return whether the condition held in time
bool waitFor(std::chrono::milliseconds timeout, const std::function<bool()> &condition);

/// @return loopback address 127.A.B.`lastOctet` with A and B derived from the id of this process, so that concurrent test
/// processes use different addresses and listeners can use fixed ports
std::string ownLoopbackAddress(unsigned lastOctet);

/// @return TCP port that was free on `address` during the call; another process may take it afterwards
unsigned short findFreePort(const std::string &address);

} // namespace Galenarack
