#include "support/platformfleet.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t bodyBytes = 6'000'000;
/// Bytes that a caller reads before its pause.
constexpr std::size_t firstBytes = 100'000;

} // namespace

/// Callers that stop reading a response for some time.
class SlowReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlowReaderTest);
    CPPUNIT_TEST(responseOutlivesAPauseOfItsReader);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a node that resets the connection of a live caller whose receive window is closed for some seconds.
    void responseOutlivesAPauseOfItsReader()
    {
        const struct
        {
            const char *name;
            std::chrono::milliseconds pause;
        } table[] = {
            {"short pause", 1500ms},
            {"long pause", 5000ms},
        };
        PlatformFleet fleet(2);
        CPPUNIT_ASSERT(fleet.startAll());
        for (const auto &row : table) {
            std::optional<std::size_t> received;
            asio::co_spawn(fleet.context, read(fleet, row.pause, received), asio::detached);
            while (!received) {
                fleet.runFor(50ms);
            }
            CPPUNIT_ASSERT_MESSAGE(std::string(row.name) + ": received " + std::to_string(*received), *received > bodyBytes);
        }
    }

private:
    /// Reads a response until the connection ends, with a pause.
    static asio::awaitable<void> read(PlatformFleet &fleet, std::chrono::milliseconds pause, std::optional<std::size_t> &received)
    {
        StandIns::Tcp::socket socket(fleet.context);
        co_await socket.async_connect(fleet.callerAddress(0, true), asTuple);
        const std::string request = "GET /read/x?body-bytes=" + std::to_string(bodyBytes)
                                    + " HTTP/1.1\r\nHost: fleet.example\r\nRequest-Id: slow-" + std::to_string(pause.count())
                                    + "\r\nConnection: close\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(request), asTuple);
        std::string bytes(2 * bodyBytes, '\0');
        const auto [firstError, first] = co_await asio::async_read(socket, asio::buffer(bytes, firstBytes), asTuple);
        asio::steady_timer timer(fleet.context);
        co_await StandIns::sleepFor(timer, pause);
        const auto [error, rest] = co_await asio::async_read(socket, asio::buffer(bytes), asTuple);
        received = first + rest;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowReaderTest);
