#include "testhttp.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <thread>

#include <unistd.h>

namespace Galenarack {

namespace {

/// Smallest second octet of test addresses. Keeps them outside 127.0.0.0/16, where other programs listen.
constexpr unsigned minSecondOctet = 16;
constexpr unsigned secondOctetCount = 224;

StandIns::HttpRequest toHttpRequest(const TestRequest &request)
{
    StandIns::HttpRequest http;
    http.version(11);
    http.method_string(request.method);
    http.target(request.target);
    for (const auto &[name, value] : request.headers) {
        http.set(name, value);
    }
    http.body() = request.body;
    return http;
}

} // namespace

nlohmann::json TestReply::json() const
{
    nlohmann::json parsed = nlohmann::json::parse(this->body, nullptr, false);
    return parsed.is_discarded() ? nlohmann::json() : parsed;
}

std::string TestReply::execution() const
{
    return StandIns::jsonStringMember(this->body, "execution");
}

std::string TestReply::describe() const
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(this->elapsed).count();
    return std::string(StandIns::exchangeEndName(this->end)) + " " + std::to_string(this->status) + " " + this->error + " after "
           + std::to_string(milliseconds) + " ms: " + this->body.substr(0, 400);
}

TestReply sendRequest(const std::string &address, const TestRequest &request)
{
    const auto start = std::chrono::steady_clock::now();
    boost::asio::io_context context(1);
    StandIns::HttpClient client(context, StandIns::parseEndpoint(address));
    auto future = boost::asio::co_spawn(context, client.exchange(toHttpRequest(request), request.timeout), boost::asio::use_future);
    context.run();
    const StandIns::Exchange exchange = future.get();
    TestReply reply;
    reply.end = exchange.end;
    reply.elapsed = std::chrono::steady_clock::now() - start;
    if (exchange.end == StandIns::ExchangeEnd::Complete) {
        reply.status = exchange.response.result_int();
        reply.body = exchange.response.body();
        reply.error = exchange.response["galenarack-error"];
    }
    return reply;
}

std::future<TestReply> sendAsync(const std::string &address, const TestRequest &request)
{
    return std::async(std::launch::async, [address, request] {
        return sendRequest(address, request);
    });
}

bool waitFor(std::chrono::milliseconds timeout, const std::function<bool()> &condition)
{
    constexpr auto step = std::chrono::milliseconds(10);
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(step);
    }
    return true;
}

std::string ownLoopbackAddress(unsigned lastOctet)
{
    const auto process = static_cast<unsigned>(getpid());
    return "127." + std::to_string(minSecondOctet + (process >> 8U) % secondOctetCount) + "." + std::to_string(process & 0xffU) + "."
           + std::to_string(lastOctet);
}

unsigned short findFreePort(const std::string &address)
{
    boost::asio::io_context context(1);
    const StandIns::Tcp::acceptor acceptor(context, {boost::asio::ip::make_address_v4(address), 0});
    return acceptor.local_endpoint().port();
}

} // namespace Galenarack
