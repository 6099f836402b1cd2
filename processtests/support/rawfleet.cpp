#include "rawfleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http.hpp>

#include <cppunit/TestAssert.h>

namespace Galenarack {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxBodyBytes = 24 * 1024 * 1024;

} // namespace

RawFleet::RawFleet()
    : fleet(nodeCount)
    , upstream(fleet.context)
{
    this->fleet.maxBodyBytes = maxBodyBytes;
    this->fleet.publishConfig("/read/");
    this->fleet.setUpstreamAddress(1, this->upstream.address());
    CPPUNIT_ASSERT(this->fleet.startAll());
}

StandIns::Exchange RawFleet::send(
    unsigned node, const std::string &method, const std::string &target, const std::string &id, std::size_t bytes)
{
    std::optional<StandIns::Exchange> result;
    asio::co_spawn(this->fleet.context, this->exchange(node, method, target, id, bytes, result), asio::detached);
    while (!result) {
        this->fleet.runFor(10ms);
    }
    return *result;
}

void RawFleet::restoreHealth(unsigned node, const std::string &name)
{
    for (int i = 0; i < 12; ++i) {
        this->send(node, "GET", "/read/sound", "sound-" + name + std::to_string(i), 0);
    }
}

asio::awaitable<void> RawFleet::exchange(
    unsigned node, std::string method, std::string target, std::string id, std::size_t bytes, std::optional<StandIns::Exchange> &result)
{
    constexpr auto deadline = 4s;
    StandIns::HttpClient client(this->fleet.context, this->fleet.callerAddress(node, true));
    StandIns::HttpRequest request(http::string_to_verb(method), target, 11);
    request.set(http::field::host, "fleet.example");
    request.set("Request-Id", id);
    request.set("Deadline-Ms", std::to_string(std::chrono::milliseconds(deadline).count()));
    request.body() = std::string(bytes, 'x');
    result = co_await client.exchange(std::move(request), deadline + 1500ms);
}

} // namespace Galenarack
