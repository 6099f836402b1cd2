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
/// Keeps a client that holds all bytes from using up the memory of the machine.
constexpr std::size_t maxEndlessBytes = 64 * 1024 * 1024;

/// How the test service answers a call.
struct ServiceScript
{
    std::vector<std::string> parts; ///< Parts of the response.
    std::chrono::milliseconds pause{0}; ///< Pause before each part.
    bool closes = false; ///< Whether it closes the connection after the last part; otherwise it keeps it open.
    bool resets = false; ///< Whether it resets the connection 50 ms after the last part.
    std::string endlessPart{}; ///< Bytes that it repeats after the last part, up to maxEndlessBytes; may be empty.
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

    std::size_t endlessBytes = 0; ///< Number of bytes sent as `endlessPart`.

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
        while (!this->script.endlessPart.empty() && this->endlessBytes < maxEndlessBytes) {
            const auto [error, written] = co_await asio::async_write(socket, asio::buffer(this->script.endlessPart), awaitTuple);
            if (error) {
                co_return;
            }
            this->endlessBytes += written;
        }
        if (this->script.resets) {
            timer.expires_after(50ms);
            co_await timer.async_wait(awaitTuple);
            socket.set_option(asio::socket_base::linger(true, 0));
            socket.close();
            co_return;
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

ServiceSettings settingsFor(const ScriptedService &service)
{
    ServiceSettings settings;
    settings.host = "127.0.0.1";
    settings.port = service.port();
    settings.replyTimeout = replyTimeout;
    settings.transferTimeout = transferTimeout;
    settings.maxReplyBytes = maxReplyBytes;
    return settings;
}

} // namespace

class ServiceClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServiceClientTest);
    CPPUNIT_TEST(callsEndByProgressOfTheResponse);
    CPPUNIT_TEST(onlyWholeAndValidRepliesAreUsed);
    CPPUNIT_TEST(endlessReplyIsDropped);
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
            ServiceClient client(context.get_executor(), settingsFor(service));
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

    /// Guards against a broken or interim response that is taken for the reply, and against bytes after a reply that are taken for the
    /// reply to the next call.
    void onlyWholeAndValidRepliesAreUsed()
    {
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        const std::string length = "Content-Length: 2\r\n";
        const struct
        {
            const char *name;
            ServiceScript script;
            bool isUsed;
        } table[] = {
            {"status 000", {{"HTTP/1.1 000 None\r\n" + length + "\r\nok"}}, false},
            {"status 099", {{"HTTP/1.1 099 None\r\n" + length + "\r\nok"}}, false},
            {"status 101", {{"HTTP/1.1 101 Switching Protocols\r\n\r\n"}}, false},
            {"status 600", {{"HTTP/1.1 600 None\r\n" + length + "\r\nok"}}, false},
            {"no length, reset", {{ok + "\r\nok"}, 0ms, false, true}, false},
            {"length, reset", {{ok + "Content-Length: 9\r\n\r\nok"}, 0ms, false, true}, false},
            {"chunks, reset", {{ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"}, 0ms, false, true}, false},
            {"blank in a field name", {{ok + "X Field: 1\r\n" + length + "\r\nok"}}, false},
            {"control byte in a field name", {{ok + "X-\x01: 1\r\n" + length + "\r\nok"}}, false},
            {"transfer coding that is not chunked", {{ok + "Transfer-Encoding: gzip\r\n\r\nok"}, 0ms, true}, false},
            {"no length, closed", {{ok + "\r\nok"}, 0ms, true}, true},
            {"interim response first", {{"HTTP/1.1 103 Early Hints\r\n\r\n" + head(2) + "ok"}}, true},
            {"bytes after the reply", {{head(2) + "ok" + head(3) + "bad"}}, true},
        };
        std::string mismatches;
        for (const auto &row : table) {
            asio::io_context context;
            ScriptedService service(context, row.script);
            ServiceClient client(context.get_executor(), settingsFor(service));
            for (int call = 1; call <= 2; ++call) {
                const auto reply = runTask(context, client.get("/v1/values/a", Duration::zero()));
                const bool isOk = reply.ok() && reply->status == 200 && reply->body == "ok";
                if (isOk != row.isUsed || (!row.isUsed && reply.ok())) {
                    mismatches += std::string(row.name) + ", call " + std::to_string(call) + "\n";
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches);
    }

    /// Guards against a service that sends bytes without end, and whose client keeps them until the call has timed out. The bound is what
    /// the socket buffers of both ends may hold beside the limits.
    void endlessReplyIsDropped()
    {
        constexpr std::size_t maxSentBytes = 16 * 1024 * 1024;
        const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string filler(64 * 1024, 'x');
        const struct
        {
            const char *name;
            ServiceScript script;
        } table[] = {
            {"status line", {{"HTTP/1.1 200 "}, 0ms, false, false, filler}},
            {"header field", {{"HTTP/1.1 200 OK\r\nX-Long: "}, 0ms, false, false, filler}},
            {"body without a length", {{"HTTP/1.1 200 OK\r\n\r\n"}, 0ms, false, false, filler}},
            {"chunk extension", {{chunked + "2;a="}, 0ms, false, false, filler}},
            {"trailer", {{chunked + "0\r\nX-Long: "}, 0ms, false, false, filler}},
            {"interim responses", {{}, 0ms, false, false, "HTTP/1.1 103 Early Hints\r\n\r\n"}},
        };
        std::string mismatches;
        for (const auto &row : table) {
            asio::io_context context;
            ScriptedService service(context, row.script);
            ServiceClient client(context.get_executor(), settingsFor(service));
            const auto reply = runTask(context, client.get("/v1/values/a", Duration::zero()));
            if (reply.ok() || service.endlessBytes > maxSentBytes) {
                mismatches += std::string(row.name) + ": " + std::to_string(service.endlessBytes) + " bytes\n";
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceClientTest);
