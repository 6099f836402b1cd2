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

/// A request of a test.
struct TestRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::milliseconds timeout{5000};
};

/// What a test needs of a response.
struct TestReply
{
    StandIns::ExchangeEnd end = StandIns::ExchangeEnd::Complete;
    unsigned status = 0; ///< 0 unless complete.
    std::string body;
    std::string error; ///< Header galenarack-error.
    std::chrono::steady_clock::duration elapsed{};

    /// @return the body; null when it is not JSON
    nlohmann::json json() const;

    /// @return member "execution" of a problem response, or empty
    std::string execution() const;

    /// One line for assertion messages.
    std::string describe() const;
};

/// Sends one request over a new connection and waits for the response.
/// @param address "IPv4:port"
TestReply sendRequest(const std::string &address, const TestRequest &request);

/// Sends one request in a thread of its own.
std::future<TestReply> sendAsync(const std::string &address, const TestRequest &request);

/// Checks `condition` every 10 ms.
/// @return false when it did not hold within `timeout`
bool waitFor(std::chrono::milliseconds timeout, const std::function<bool()> &condition);

/// Loopback address 127.A.B.`lastOctet` with A and B from the id of this process, so that test runners that run at
/// the same time use different addresses and every listener can have a fixed port.
std::string ownLoopbackAddress(unsigned lastOctet);

/// @return a TCP port that was free on `address` a moment ago
unsigned short findFreePort(const std::string &address);

} // namespace Galenarack
