#include "asiosupport.h"

#include <galenarack/proxy/callerserver.h>

#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Size of each response, which exceeds what the system buffers for a caller that does not read.
constexpr std::size_t bodyBytes = 16'000'000;

/// Longest time for sending a response.
constexpr Duration transferTimeout = 15s;

std::string requests(unsigned count)
{
    std::string text;
    for (unsigned i = 0; i < count; ++i) {
        text += "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    return text;
}

} // namespace

/// Connections of callers that do not read their responses.
class CallerServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerServerTest);
    CPPUNIT_TEST(endsConnectionOfACallerThatDoesNotRead);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a connection that stays open for good, or for as long as its caller sends requests, with a response that can't be
    /// sent, and against requests that run although their responses can't be sent.
    void endsConnectionOfACallerThatDoesNotRead()
    {
        const struct
        {
            const char *name;
            unsigned atOnce; ///< Requests that the caller sends at first.
            unsigned later; ///< Requests that it sends half a second later.
        } table[] = {
            {"one request", 1, 0},
            {"more requests than the pipeline takes", 100, 0},
            {"a request later", 1, 1},
        };
        for (const auto &row : table) {
            asio::io_context context;
            unsigned handled = 0;
            CallerServer server(
                context.get_executor(),
                [] {
                    return CallerLimits();
                },
                [&handled](CallerRequest, std::shared_ptr<Cancellation>) -> asio::awaitable<PeerResponse> {
                    ++handled;
                    PeerResponse response;
                    response.status = 200;
                    response.body.assign(handled == 1 ? bodyBytes : 1, '.');
                    co_return response;
                });
            CPPUNIT_ASSERT(server.listen(anyLoopbackPort()).ok());
            asio::ip::tcp::socket caller(context, asio::ip::tcp::v4());
            caller.set_option(asio::socket_base::receive_buffer_size(4096));
            caller.connect(server.address());
            asio::write(caller, asio::buffer(requests(row.atOnce)));
            runFor(context, 300ms);
            const TimePoint isWriting = NodeClock::now();
            runFor(context, 500ms);
            asio::write(caller, asio::buffer(requests(row.later)));
            runFor(context, 200ms);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t(1), server.connectionCount());
            CPPUNIT_ASSERT_MESSAGE(row.name, server.pending() > 0);
            const unsigned handledBefore = handled;
            server.tick(isWriting + transferTimeout + 100ms);
            const TimePoint end = NodeClock::now() + 10s;
            while (server.connectionCount() > 0 && NodeClock::now() < end) {
                runFor(context, 50ms);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t(0), server.connectionCount());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, handledBefore, handled);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t(0), server.pending());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerServerTest);
