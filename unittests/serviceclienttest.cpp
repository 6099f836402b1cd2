#include "asiosupport.h"

#include <galenarack/config/serviceclient.h>
#include <galenarack/core/errorkind.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto replyTimeout = 300ms;
constexpr auto transferTimeout = 1500ms;
constexpr std::size_t maxReplyBytes = 100;

/// How the test service answers a call.
struct ServiceScript
{
    std::vector<std::string> parts; ///< Parts of the response.
    std::chrono::milliseconds pause{0}; ///< Pause before each part.
    bool closes = false; ///< Whether it closes the connection after the last part; otherwise it keeps it open.
};

/// Answers the first call on each connection by a script.
class ScriptedService
{
public:
    ScriptedService(asio::io_context &context, ServiceScript script)
        : script(std::move(script))
        , acceptor(context, anyLoopbackPort())
    {
        asio::co_spawn(context, this->accept(), asio::detached);
    }

    std::uint16_t port() const
    {
        return this->acceptor.local_endpoint().port();
    }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            auto [error, socket] = co_await this->acceptor.async_accept(awaitTuple);
            if (error) {
                co_return;
            }
            asio::co_spawn(this->acceptor.get_executor(), this->serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string request;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", awaitTuple);
        asio::steady_timer timer(socket.get_executor());
        for (const std::string &part : this->script.parts) {
            timer.expires_after(this->script.pause);
            co_await timer.async_wait(awaitTuple);
            const auto [error, written] = co_await asio::async_write(socket, asio::buffer(part), awaitTuple);
            if (error) {
                co_return;
            }
        }
        if (!this->script.closes) {
            std::string rest;
            co_await asio::async_read_until(socket, asio::dynamic_buffer(rest), "\r\n\r\n", awaitTuple);
        }
    }

    ServiceScript script;
    tcp::acceptor acceptor;
};

/// @return a first part, and one that is sent 50 times after it
std::vector<std::string> repeated(const std::string &first, const std::string &part)
{
    std::vector<std::string> parts(50, part);
    parts.insert(parts.begin(), first);
    return parts;
}

std::string head(std::size_t length)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

} // namespace

class ServiceClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServiceClientTest);
    CPPUNIT_TEST(callsEndByProgressOfTheResponse);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a call that waits for a response which never comes or never ends, against a long response that is given up
    /// while it arrives, and against a cut of a waiting call that can't be told from a service that is unavailable.
    void callsEndByProgressOfTheResponse()
    {
        const struct
        {
            const char *name;
            ServiceScript script;
            std::optional<ErrorKind> error;
            std::chrono::milliseconds shortest; ///< Shortest time until the call ends.
        } table[] = {
            {"whole response", {{head(2) + "ok"}}, std::nullopt, 0ms},
            {"longer than the reply time-out, but steady", {{head(6), "a", "b", "c", "d", "e", "f"}, 100ms}, std::nullopt, replyTimeout},
            {"no response", {{}}, ErrorKind::Timeout, replyTimeout},
            {"stalls in the head", {{"HTTP/1.1 200 OK\r\n"}}, ErrorKind::PeerUnreachable, replyTimeout},
            {"stalls in the body", {{head(6) + "abc"}}, ErrorKind::PeerUnreachable, replyTimeout},
            {"head without end", {repeated("HTTP/1.1 200 OK\r\n", "X: y\r\n"), 100ms}, ErrorKind::PeerUnreachable, replyTimeout},
            {"body without end", {repeated(head(60), "x"), 100ms}, ErrorKind::PeerUnreachable, transferTimeout},
            {"closed before the response", {{}, 0ms, true}, ErrorKind::PeerLost, 0ms},
            {"closed in the response", {{head(6) + "abc"}, 0ms, true}, ErrorKind::PeerUnreachable, 0ms},
            {"above the size limit", {{head(maxReplyBytes + 1)}}, ErrorKind::PeerUnreachable, 0ms},
            {"at the size limit", {{head(maxReplyBytes) + std::string(maxReplyBytes, 'x')}}, std::nullopt, 0ms},
        };
        for (const auto &row : table) {
            asio::io_context context;
            ScriptedService service(context, row.script);
            ServiceSettings settings;
            settings.host = "127.0.0.1";
            settings.port = service.port();
            settings.replyTimeout = replyTimeout;
            settings.transferTimeout = transferTimeout;
            settings.maxReplyBytes = maxReplyBytes;
            ServiceClient client(context.get_executor(), settings);
            const auto start = std::chrono::steady_clock::now();
            const auto reply = runTask(context, client.get("/v1/values/a", Duration::zero()));
            CPPUNIT_ASSERT_MESSAGE(row.name, std::chrono::steady_clock::now() - start >= row.shortest);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, !row.error.has_value(), reply.ok());
            if (row.error) {
                const std::string seen(errorRow(errorKindOf(reply.status())).name);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(errorRow(*row.error).name), seen);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceClientTest);
