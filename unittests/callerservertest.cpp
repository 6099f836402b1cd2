#include "asiosupport.h"

#include <galenarack/proxy/callerserver.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>
#include <vector>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Size of each response, which exceeds what the system buffers for a caller that does not read.
constexpr std::size_t bodyBytes = 16'000'000;

/// Maximum size of the bodies of all requests in progress together.
constexpr std::size_t bodyBudget = 100'000;

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
    CPPUNIT_TEST(bodiesTogetherKeepTheLimit);
    CPPUNIT_TEST(callerThatLeavesEndsItsRequests);
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
                bodyBudget,
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

    /// Guards against uploads that are each within the limit of the configuration and together take more memory than the process has,
    /// and against a limit that is not free again after the requests.
    void bodiesTogetherKeepTheLimit()
    {
        const struct
        {
            const char *name;
            std::vector<std::size_t> sizes; ///< Bodies that are sent on connections of their own, at the same time.
            bool isChunked;
            unsigned served; ///< Number of requests that reach the handler.
        } table[] = {
            {"all fit", {30'000, 30'000, 30'000}, false, 3},
            {"the second does not fit", {60'000, 60'000}, false, 1},
            {"a smaller one fits beside a large one", {60'000, 60'000, 30'000}, false, 2},
            {"larger than the limit", {150'000}, false, 0},
            {"chunked, does not fit", {60'000, 60'000}, true, 1},
            {"chunked, larger than the limit", {150'000}, true, 0},
        };
        asio::io_context context;
        unsigned handled = 0;
        CallerServer server(
            context.get_executor(),
            [] {
                return CallerLimits();
            },
            bodyBudget,
            [&handled, &context](CallerRequest, std::shared_ptr<Cancellation>) -> asio::awaitable<PeerResponse> {
                ++handled;
                asio::steady_timer work(context, 200ms);
                co_await work.async_wait(asio::use_awaitable);
                PeerResponse response;
                response.status = 200;
                co_return response;
            });
        CPPUNIT_ASSERT(server.listen(anyLoopbackPort()).ok());
        for (const auto &row : table) {
            handled = 0;
            std::vector<asio::ip::tcp::socket> callers;
            for (const std::size_t size : row.sizes) {
                asio::ip::tcp::socket &caller = callers.emplace_back(context);
                caller.connect(server.address());
                asio::write(caller, asio::buffer(upload(size, row.isChunked)));
                runFor(context, 30ms);
            }
            runFor(context, 400ms);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.served, handled);
            unsigned refused = 0;
            for (asio::ip::tcp::socket &caller : callers) {
                std::string text(4096, '\0');
                CPPUNIT_ASSERT_MESSAGE(row.name, caller.available() > 0);
                text.resize(caller.read_some(asio::buffer(text)));
                refused += text.starts_with("HTTP/1.1 503") && text.find("retry-after: 1") != std::string::npos ? 1 : 0;
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.sizes.size() - row.served, std::size_t(refused));
            callers.clear();
            runFor(context, 100ms);
        }
    }

    /// Guards against work that goes on after its caller has closed the connection.
    void callerThatLeavesEndsItsRequests()
    {
        const struct
        {
            const char *name;
            std::string later; ///< What follows the request that is in progress.
        } table[] = {
            {"nothing", ""},
            {"a body that does not fit", upload(150'000, false)},
        };
        for (const auto &row : table) {
            asio::io_context context;
            bool isCancelled = false;
            CallerServer server(
                context.get_executor(),
                [] {
                    return CallerLimits();
                },
                bodyBudget,
                [&isCancelled, &context](CallerRequest, std::shared_ptr<Cancellation> cancellation) -> asio::awaitable<PeerResponse> {
                    asio::steady_timer poll(context);
                    while (!cancellation->isRequested()) {
                        poll.expires_after(10ms);
                        co_await poll.async_wait(asio::use_awaitable);
                    }
                    isCancelled = true;
                    co_return PeerResponse();
                });
            CPPUNIT_ASSERT(server.listen(anyLoopbackPort()).ok());
            {
                asio::ip::tcp::socket caller(context);
                caller.connect(server.address());
                asio::write(caller, asio::buffer(requests(1) + row.later));
                runFor(context, 200ms);
                CPPUNIT_ASSERT_MESSAGE(row.name, !isCancelled);
            }
            runFor(context, 200ms);
            CPPUNIT_ASSERT_MESSAGE(row.name, isCancelled);
        }
    }

private:
    /// @return a request with a body of this size, in one chunk or with a length
    static std::string upload(std::size_t size, bool isChunked)
    {
        const std::string head = "POST /a HTTP/1.1\r\nHost: a\r\n";
        const std::string body(size, 'x');
        if (!isChunked) {
            return head + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + body;
        }
        std::ostringstream length;
        length << std::hex << size;
        return head + "Transfer-Encoding: chunked\r\n\r\n" + length.str() + "\r\n" + body + "\r\n0\r\n\r\n";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerServerTest);
