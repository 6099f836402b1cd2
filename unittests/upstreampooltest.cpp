#include "asiosupport.h"

#include <galenarack/core/errorkind.h>
#include <galenarack/home/upstreampool.h>

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
constexpr std::string_view requestId = "000000000000feed0000000000000007";
constexpr std::string_view good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

enum class After {
    Keep,
    Close,
    HalfClose, ///< The upstream shuts down its sending direction, but still reads.
    LateBytes, ///< The upstream sends a second response 50 ms later.
    Reset, ///< The upstream resets the connection after the response.
    Endless, ///< The upstream repeats the last part until the connection is closed.
    PauseThenClose, ///< The upstream closes the connection 50 ms after the response.
    ReadThenClose, ///< The upstream reads the rest of the request and closes the connection.
    HalfCloseThenRead, ///< The upstream shuts down its sending direction, pauses, reads the rest of the request and closes.
};

struct Script
{
    std::string response;
    After after = After::Keep;
    std::string part{}; ///< Bytes that are repeated with After::Endless.
    std::string lateCopy{}; ///< Bytes that precede the next response on the same connection.
};

/// An upstream that responds to the first request by a script and to all others with a complete response.
class ScriptedUpstream
{
public:
    ScriptedUpstream(asio::io_context &context, Script script)
        : script(std::move(script))
        , acceptor(context, anyLoopbackPort())
    {
        asio::co_spawn(context, this->accept(), asio::detached);
    }

    tcp::endpoint address() const
    {
        return this->acceptor.local_endpoint();
    }

    Script following{std::string(good)}; ///< Script of all requests after the first one.
    int connections = 0;
    std::string lastRequest;
    std::size_t endlessBytes = 0; ///< Bytes sent with After::Endless.
    bool endlessClosed = false; ///< Whether the connection of a response with After::Endless was closed.

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            auto [error, socket] = co_await this->acceptor.async_accept(awaitTuple);
            if (error) {
                co_return;
            }
            ++this->connections;
            asio::co_spawn(this->acceptor.get_executor(), this->serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string buffer;
        std::string lateCopy;
        for (;;) {
            const auto [error, length] = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", awaitTuple);
            if (error) {
                co_return;
            }
            this->lastRequest = buffer.substr(0, length);
            this->bodyBytesRead = buffer.size() - length;
            buffer.clear();
            const Script now = std::exchange(this->script, this->following);
            const std::string bytes = std::exchange(lateCopy, now.lateCopy) + now.response;
            co_await asio::async_write(socket, asio::buffer(bytes), awaitTuple);
            for (bool isOpen = now.after == After::Endless; isOpen; this->endlessBytes += now.part.size()) {
                isOpen = !std::get<0>(co_await asio::async_write(socket, asio::buffer(now.part), awaitTuple));
                this->endlessClosed = !isOpen;
            }
            if (now.after == After::Reset || now.after == After::PauseThenClose) {
                asio::steady_timer timer(socket.get_executor(), 50ms);
                co_await timer.async_wait(awaitTuple);
                socket.set_option(asio::socket_base::linger(now.after == After::Reset, 0));
                socket.close();
                co_return;
            }
            if (now.after == After::Close || now.after == After::Endless) {
                co_return;
            }
            if (now.after == After::ReadThenClose) {
                co_await this->readBody(socket);
                co_return;
            }
            if (now.after == After::HalfCloseThenRead) {
                socket.shutdown(tcp::socket::shutdown_send);
                asio::steady_timer timer(socket.get_executor(), 50ms);
                co_await timer.async_wait(awaitTuple);
                co_await this->readBody(socket);
                co_return;
            }
            if (now.after == After::HalfClose) {
                socket.shutdown(tcp::socket::shutdown_send);
            }
            if (now.after == After::LateBytes) {
                asio::steady_timer timer(socket.get_executor(), 50ms);
                co_await timer.async_wait(awaitTuple);
                co_await asio::async_write(socket, asio::buffer(good), awaitTuple);
            }
        }
    }

    /// Reads the rest of the body of the last request.
    asio::awaitable<void> readBody(tcp::socket &socket)
    {
        constexpr std::string_view lengthField = "Content-Length: ";
        const std::size_t field = this->lastRequest.find(lengthField);
        const std::size_t length = field == std::string::npos ? 0 : std::stoul(this->lastRequest.substr(field + lengthField.size()));
        std::string part(64 * 1024, '\0');
        while (this->bodyBytesRead < length) {
            const auto [error, count] = co_await socket.async_read_some(asio::buffer(part), awaitTuple);
            if (error) {
                co_return;
            }
            this->bodyBytesRead += count;
        }
    }

    Script script;
    tcp::acceptor acceptor;
    std::size_t bodyBytesRead = 0; ///< Number of bytes of the body of the last request that were read.
};

struct Case
{
    const char *name;
    Script script;
    std::optional<ErrorKind> error;
    bool reused;
    Duration timeout = testTimeout;
};

UpstreamLimits smallLimits()
{
    UpstreamLimits limits;
    limits.headerBytes = 1024;
    limits.bodyBytes = 1024;
    limits.connectTimeout = 10s;
    return limits;
}

absl::StatusOr<PeerResponse> sendRequest(
    asio::io_context &context, UpstreamPool &pool, Duration timeout, HeaderList headers = {}, std::string_view id = requestId)
{
    const PeerRequest request{"GET", "/records/1", std::move(headers), ""};
    UpstreamCall call;
    return runTask(context, pool.request(request, id, NodeClock::now() + timeout, call));
}

/// @return a response with the echo of the request and this status line, which has no body
std::string withStatus(std::string_view statusLine)
{
    return std::string(statusLine) + "\r\ngalenarack-request-id: " + std::string(requestId) + "\r\nContent-Length: 0\r\n\r\n";
}

std::string kindName(const absl::StatusOr<PeerResponse> &response)
{
    return response.ok() ? "ok" : std::string(errorRow(errorKindOf(response.status())).name);
}

/// Rows of a table whose result is not the expected one, so that one run names all of them.
struct Mismatches
{
    void compare(std::string_view row, std::string_view expected, std::string_view seen)
    {
        if (expected != seen) {
            this->text += std::string(row) + ": expected " + std::string(expected) + ", got " + std::string(seen) + "\n";
        }
    }

    std::string text;
};

const std::vector<Case> &cases()
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    static const std::vector<Case> table = {
        {"complete", {std::string(good)}, std::nullopt, true},
        {"chunked", {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}, std::nullopt, true},
        {"echo that matches",
         {ok + "galenarack-request-id: " + std::string(requestId) + "\r\nContent-Length: 2\r\n\r\nok"},
         std::nullopt,
         true},
        {"interim responses",
         {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + std::string(good)},
         std::nullopt,
         true},
        {"connection: close", {ok + "Connection: close\r\nContent-Length: 2\r\n\r\nok"}, std::nullopt, false},
        {"half-closed after the response", {std::string(good), After::HalfClose}, std::nullopt, false},
        {"late bytes after the response", {std::string(good), After::LateBytes}, std::nullopt, false},
        {"no response", {"", After::Close}, ErrorKind::UpstreamAnswerCut, false},
        {"truncated header", {"HTTP/1.1 200 OK\r\nContent-Le", After::Close}, ErrorKind::UpstreamAnswerCut, false},
        {"truncated body", {ok + "Content-Length: 10\r\n\r\nok", After::Close}, ErrorKind::UpstreamAnswerCut, false},
        {"truncated body, half-closed", {ok + "Content-Length: 10\r\n\r\nok", After::HalfClose}, ErrorKind::UpstreamAnswerCut, false},
        {"truncated chunk", {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nok", After::Close}, ErrorKind::UpstreamAnswerCut, false},
        {"overlong body", {ok + "Content-Length: 1025\r\n\r\n" + std::string(1025, 'x')}, ErrorKind::UpstreamAnswerTooLarge, false},
        {"overlong chunk",
         {ok + "Transfer-Encoding: chunked\r\n\r\n401\r\n" + std::string(1025, 'x')},
         ErrorKind::UpstreamAnswerTooLarge,
         false},
        {"overlong header", {ok + "X-Long: " + std::string(4096, 'x') + "\r\n\r\n"}, ErrorKind::UpstreamAnswerTooLarge, false},
        {"mismatched echo",
         {ok + "galenarack-request-id: 00000000000000010000000000000001\r\nContent-Length: 2\r\n\r\nok"},
         ErrorKind::UpstreamAnswerInvalid,
         false},
        {"no length", {ok + "\r\nok", After::Close}, ErrorKind::UpstreamAnswerInvalid, false},
        {"two lengths", {ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!"}, ErrorKind::UpstreamAnswerInvalid, false},
        {"bytes after the response", {std::string(good) + std::string(good)}, ErrorKind::UpstreamAnswerInvalid, false},
        {"garbage", {"SSH-2.0-server\r\n\r\n"}, ErrorKind::UpstreamAnswerInvalid, false},
        {"slow response", {ok + "Content-Length: 2\r\n\r\n"}, ErrorKind::Timeout, false, 200ms},
    };
    return table;
}

} // namespace

class UpstreamPoolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamPoolTest);
    CPPUNIT_TEST(faultyResponsesAreClassifiedAndNotReused);
    CPPUNIT_TEST(refusedConnectionIsReportedAsNotRun);
    CPPUNIT_TEST(connectionFieldsAreNotForwarded);
    CPPUNIT_TEST(requestAbortedDuringConnectIsNotSent);
    CPPUNIT_TEST(lateCopyIsNotTakenForTheNextResponse);
    CPPUNIT_TEST(lateCopyOfRejectionIsNotTakenForTheNextTry);
    CPPUNIT_TEST(responseWithOtherEchoesIsInvalid);
    CPPUNIT_TEST(truncatedHeadIsNoResponse);
    CPPUNIT_TEST(responseWithoutLengthIsCompleteOnlyAtTheEnd);
    CPPUNIT_TEST(responseWithInvalidStatusIsInvalid);
    CPPUNIT_TEST(responseResetDuringUploadIsCut);
    CPPUNIT_TEST(responseWithInvalidFieldNameIsInvalid);
    CPPUNIT_TEST(responseWithOtherTransferCodingIsInvalid);
    CPPUNIT_TEST(responseWithUnrequestedContentCodingIsInvalid);
    CPPUNIT_TEST(endlessResponseIsDropped);
    CPPUNIT_TEST(endlessBodiesAreDroppedBeforeOthers);
    CPPUNIT_TEST(noticesAreReadFromTheHeaderOfTheResponse);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a response that is taken for that of a later request on the same connection, and against an error kind
    /// that misstates what happened at the upstream.
    void faultyResponsesAreClassifiedAndNotReused()
    {
        for (const Case &row : cases()) {
            asio::io_context context;
            ScriptedUpstream upstream(context, row.script);
            UpstreamPool pool(context.get_executor(), upstream.address(), smallLimits());
            const auto first = sendRequest(context, pool, row.timeout);
            CPPUNIT_ASSERT_MESSAGE(row.name, first.ok() == !row.error);
            if (row.error) {
                const std::string seen(errorRow(errorKindOf(first.status())).name);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(errorRow(*row.error).name), seen);
            } else {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string("ok"), first->body);
            }
            // Leaves time for late bytes and for the end of the connection to arrive.
            runFor(context, 150ms);
            const auto second = sendRequest(context, pool, testTimeout);
            CPPUNIT_ASSERT_MESSAGE(row.name, second.ok() && second->body == "ok");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.reused ? 1 : 2, upstream.connections);
        }
    }

    /// Guards against a notice of the upstream that is lost because the rest of the response is, and against one that is taken from
    /// another response.
    void noticesAreReadFromTheHeaderOfTheResponse()
    {
        const std::string echo = "galenarack-request-id: " + std::string(requestId) + "\r\n";
        const std::string otherEcho = "galenarack-request-id: 00000000000000010000000000000001\r\n";
        const std::string notice = "X-Notice: 2\r\n";
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        const struct
        {
            const char *name;
            Script script;
            std::vector<std::string> notices; ///< Expected values of the field.
            bool isCalled;
        } table[] = {
            {"complete", {ok + echo + notice + "Content-Length: 2\r\n\r\nok"}, {"2"}, true},
            {"none", {ok + echo + "Content-Length: 2\r\n\r\nok"}, {}, true},
            {"twice", {ok + echo + notice + "X-Notice: 3\r\nContent-Length: 2\r\n\r\nok"}, {"2", "3"}, true},
            {"rejection", {"HTTP/1.1 503 Busy\r\n" + echo + notice + "Content-Length: 0\r\n\r\n"}, {"2"}, true},
            {"body breaks off", {ok + echo + notice + "Content-Length: 20\r\n\r\nok", After::Close}, {"2"}, true},
            {"body is reset", {ok + echo + notice + "Content-Length: 20\r\n\r\nok", After::Reset}, {"2"}, true},
            {"body without end", {ok + echo + notice + "\r\n", After::Endless, std::string(600, 'x')}, {"2"}, true},
            {"interim response first",
             {"HTTP/1.1 103 Early Hints\r\n" + notice + "\r\n" + ok + echo + "Content-Length: 2\r\n\r\nok"},
             {},
             true},
            {"header breaks off", {ok + echo + notice + "Content-Le", After::Close}, {}, false},
            {"response to another request", {ok + otherEcho + notice + "Content-Length: 2\r\n\r\nok", After::Close}, {}, false},
            {"no id", {ok + notice + "Content-Length: 2\r\n\r\nok"}, {}, false},
        };
        for (const auto &row : table) {
            asio::io_context context;
            ScriptedUpstream upstream(context, row.script);
            UpstreamLimits limits = smallLimits();
            limits.alwaysEchoesId = true;
            limits.noticeFields = {"x-notice"};
            UpstreamPool pool(context.get_executor(), upstream.address(), limits);
            const PeerRequest request{"GET", "/records/1", {}, ""};
            std::vector<std::string> seen;
            int calls = 0;
            UpstreamCall call;
            call.onHeader = [&](unsigned, const HeaderList &notices) {
                ++calls;
                for (const HeaderField &field : notices.all()) {
                    seen.push_back(field.value);
                }
            };
            static_cast<void>(runTask(context, pool.request(request, requestId, NodeClock::now() + 1s, call)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isCalled ? 1 : 0, calls);
            CPPUNIT_ASSERT_MESSAGE(row.name, seen == row.notices);
        }
    }

    /// Guards against a refused connection being reported as a request that may have run, which would rule out a retry.
    void refusedConnectionIsReportedAsNotRun()
    {
        asio::io_context context;
        tcp::acceptor closed(context, anyLoopbackPort());
        const tcp::endpoint address = closed.local_endpoint();
        closed.close();
        UpstreamPool pool(context.get_executor(), address, smallLimits());
        const auto response = sendRequest(context, pool, testTimeout);
        CPPUNIT_ASSERT(errorKindOf(response.status()) == ErrorKind::UpstreamConnectFailed);
    }

    /// Guards against a request that is still sent although it was aborted while the connection was being opened.
    void requestAbortedDuringConnectIsNotSent()
    {
        asio::io_context context;
        ScriptedUpstream upstream(context, Script{std::string(good)});
        UpstreamPool pool(context.get_executor(), upstream.address(), smallLimits());
        const PeerRequest request{"GET", "/records/1", {}, ""};
        UpstreamCall call;
        std::optional<absl::StatusOr<PeerResponse>> result;
        asio::co_spawn(context,
                       pool.request(request, requestId, NodeClock::now() + testTimeout, call),
                       [&result](const std::exception_ptr &, absl::StatusOr<PeerResponse> response) {
                           result = std::move(response);
                       });
        runUntil(context, [&call] {
            return call.abort != nullptr;
        });
        call.abort();
        runUntil(context, [&result] {
            return result.has_value();
        });
        CPPUNIT_ASSERT(errorKindOf(result->status()) == ErrorKind::Cancelled);
        runFor(context, std::chrono::milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::string(), upstream.lastRequest);
    }

    /// Guards against a second copy of a response that arrives late, on a connection which is in use again, and that the next
    /// caller gets in place of its own response.
    void lateCopyIsNotTakenForTheNextResponse()
    {
        const auto responseOf = [](std::string_view id, std::string_view body) {
            return "HTTP/1.1 200 OK\r\ngalenarack-request-id: " + std::string(id) + "\r\nContent-Length: " + std::to_string(body.size())
                   + "\r\n\r\n" + std::string(body);
        };
        const std::string copy = responseOf("00000000000000010000000000000001", "of another caller");
        const std::string own = responseOf(requestId, "ok");
        const struct
        {
            const char *name;
            Script second; ///< What the upstream sends when the second request has arrived.
            std::optional<ErrorKind> error;
        } table[] = {
            {"copy before the response", {copy + own}, std::nullopt},
            {"two copies before the response", {copy + copy + own}, std::nullopt},
            {"only a copy", {copy, After::Close}, ErrorKind::UpstreamAnswerCut},
            {"truncated copy", {copy.substr(0, copy.size() - 3), After::Close}, ErrorKind::UpstreamAnswerCut},
            {"copies without end", {"", After::Endless, copy}, ErrorKind::UpstreamAnswerInvalid},
        };
        for (const auto &row : table) {
            asio::io_context context;
            ScriptedUpstream upstream(context, {own});
            upstream.following = row.second;
            UpstreamLimits limits = smallLimits();
            limits.alwaysEchoesId = true;
            UpstreamPool pool(context.get_executor(), upstream.address(), limits);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string("ok"), sendRequest(context, pool, testTimeout)->body);
            const auto second = sendRequest(context, pool, testTimeout);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 1, upstream.connections);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, !row.error.has_value(), second.ok());
            if (row.error) {
                const std::string seen(errorRow(errorKindOf(second.status())).name);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(errorRow(*row.error).name), seen);
            } else {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string("ok"), second->body);
            }
        }
    }

    /// Guards against a second copy of a rejection that arrives when the same request has been sent again, and that reports as not
    /// run what the upstream is running. Without an echo, the copy can't be told from the response to any other request either.
    void lateCopyOfRejectionIsNotTakenForTheNextTry()
    {
        const std::string own = "galenarack-request-id: " + std::string(requestId) + "\r\n";
        const std::string rejected = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n";
        const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";
        const struct
        {
            const char *name;
            std::string echo; ///< Header field with which the upstream echoes the id.
            bool alwaysEchoesId;
            std::string_view secondId; ///< Id of the second request.
            int connections; ///< Expected number of connections.
        } table[] = {
            {"same request, id echoed always", own, true, requestId, 2},
            {"same request, id echoed", own, false, requestId, 2},
            {"same request, no echo", "", false, requestId, 2},
            {"other request, no echo", "", false, "000000000000feed0000000000000008", 2},
            {"other request without an id", "", true, "", 2},
            {"other request, id echoed always", own, true, "000000000000feed0000000000000008", 1},
        };
        for (const auto &row : table) {
            asio::io_context context;
            const std::string rejection = rejected + row.echo + "\r\n";
            ScriptedUpstream upstream(context, {.response = rejection, .lateCopy = rejection});
            const std::string secondEcho = row.echo.empty() ? "" : "galenarack-request-id: " + std::string(row.secondId) + "\r\n";
            upstream.following = {ok + secondEcho + "\r\nok"};
            UpstreamLimits limits = smallLimits();
            limits.alwaysEchoesId = row.alwaysEchoesId;
            UpstreamPool pool(context.get_executor(), upstream.address(), limits);
            const std::string_view firstId = row.secondId.empty() ? "" : requestId;
            const auto first = sendRequest(context, pool, testTimeout, {}, firstId);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 503U, first->status);
            const auto second = sendRequest(context, pool, testTimeout, {}, row.secondId);
            CPPUNIT_ASSERT_MESSAGE(row.name, second.ok());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 200U, second->status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.connections, upstream.connections);
        }
    }

    /// Guards against a response whose id can't be established and that is taken for the response to the request: from an upstream
    /// that echoes each id, it belongs to another one.
    void responseWithOtherEchoesIsInvalid()
    {
        const std::string own = "galenarack-request-id: " + std::string(requestId) + "\r\n";
        const std::string other = "galenarack-request-id: 000000000000feed0000000000000008\r\n";
        const std::string rejected = "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n";
        const struct
        {
            const char *name;
            std::string response;
        } table[] = {
            {"no id", rejected + "\r\n"},
            {"two ids, the own one last", rejected + other + own + "\r\n"},
            {"two ids, the own one first", rejected + own + other + "\r\n"},
        };
        for (const auto &row : table) {
            asio::io_context context;
            ScriptedUpstream upstream(context, {row.response});
            UpstreamLimits limits = smallLimits();
            limits.alwaysEchoesId = true;
            UpstreamPool pool(context.get_executor(), upstream.address(), limits);
            const auto response = sendRequest(context, pool, testTimeout);
            CPPUNIT_ASSERT_MESSAGE(row.name, !response.ok());
            const std::string seen(errorRow(errorKindOf(response.status())).name);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(errorRow(ErrorKind::UpstreamAnswerInvalid).name), seen);
        }
    }

    /// Guards against an upstream that closes the connection in the head of its response, and whose response is passed on as a
    /// complete one with an empty or short body.
    void truncatedHeadIsNoResponse()
    {
        const std::string head = "HTTP/1.1 200 OK\r\ngalenarack-request-id: " + std::string(requestId) + "\r\nServer-Seal: s\r\n";
        const struct
        {
            const char *name;
            std::string response;
            std::size_t complete; ///< Number of bytes from which on the response is complete.
        } table[] = {
            {"length", head + "Content-Length: 2\r\n\r\nok", head.size() + 23},
            {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", head.size() + 42},
            {"up to the end of the connection", head + "\r\nok", head.size() + 2},
        };
        for (const auto &row : table) {
            for (std::size_t sent = 0; sent < row.complete; ++sent) {
                for (const After after : {After::Close, After::HalfClose}) {
                    asio::io_context context;
                    ScriptedUpstream upstream(context, {row.response.substr(0, sent), after});
                    UpstreamLimits limits = smallLimits();
                    limits.alwaysEchoesId = true;
                    UpstreamPool pool(context.get_executor(), upstream.address(), limits);
                    const auto response = sendRequest(context, pool, testTimeout);
                    CPPUNIT_ASSERT_MESSAGE(std::string(row.name) + ", " + std::to_string(sent) + " bytes", !response.ok());
                }
            }
        }
    }

    /// Guards against a response that broke off halfway and is passed on as a complete one: without a length, only the regular end
    /// of the connection completes it.
    void responseWithoutLengthIsCompleteOnlyAtTheEnd()
    {
        const std::string head = "HTTP/1.1 200 OK\r\ngalenarack-request-id: " + std::string(requestId) + "\r\n";
        const struct
        {
            const char *name;
            Script script;
            bool complete;
        } table[] = {
            {"no length, closed", {head + "\r\nok", After::Close}, true},
            {"no length, reset", {head + "\r\nok", After::Reset}, false},
            {"length, closed early", {head + "Content-Length: 3\r\n\r\nok", After::Close}, false},
            {"length, reset early", {head + "Content-Length: 3\r\n\r\nok", After::Reset}, false},
            {"chunks, closed before the last one", {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", After::Close}, false},
        };
        for (const auto &row : table) {
            asio::io_context context;
            ScriptedUpstream upstream(context, row.script);
            UpstreamLimits limits = smallLimits();
            limits.alwaysEchoesId = true;
            UpstreamPool pool(context.get_executor(), upstream.address(), limits);
            const auto response = sendRequest(context, pool, testTimeout);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.complete, response.ok());
            CPPUNIT_ASSERT_MESSAGE(row.name, row.complete || errorKindOf(response.status()) == ErrorKind::UpstreamAnswerCut);
        }
    }

    /// Guards against a number that is no status (RFC 9110 section 15), or a switch of protocols that nobody asked for, which is passed on
    /// as a response, and against a valid status that is not.
    void responseWithInvalidStatusIsInvalid()
    {
        const struct
        {
            const char *statusLine;
            bool isValid;
        } table[] = {
            {"HTTP/1.1 000 None", false},
            {"HTTP/1.1 001 None", false},
            {"HTTP/1.1 099 None", false},
            {"HTTP/1.1 101 Switching Protocols", false},
            {"HTTP/1.1 600 None", false},
            {"HTTP/1.1 999 None", false},
            {"HTTP/1.1 200 OK", true},
            {"HTTP/1.1 204 No Content", true},
            {"HTTP/1.1 299 ", true},
            {"HTTP/1.1 304 Not Modified", true},
            {"HTTP/1.1 418 I'm a teapot", true},
            {"HTTP/1.1 500 Internal Server Error", true},
            {"HTTP/1.1 599 Unknown", true},
            {"HTTP/1.0 200 OK", true},
        };
        Mismatches mismatches;
        for (const auto &row : table) {
            for (const bool alwaysEchoesId : {false, true}) {
                asio::io_context context;
                ScriptedUpstream upstream(context, {withStatus(row.statusLine)});
                UpstreamLimits limits = smallLimits();
                limits.alwaysEchoesId = alwaysEchoesId;
                UpstreamPool pool(context.get_executor(), upstream.address(), limits);
                const auto response = sendRequest(context, pool, testTimeout);
                const std::string expected = row.isValid ? "ok" : std::string(errorRow(ErrorKind::UpstreamAnswerInvalid).name);
                mismatches.compare(row.statusLine, expected, kindName(response));
                if (row.isValid && response.ok()) {
                    mismatches.compare(row.statusLine, std::string(row.statusLine).substr(9, 3), std::to_string(response->status));
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches.text);
    }

    /// Guards against a response without a length that is reset while the request is being written, and whose part is passed on as a
    /// complete one: the write consumes the error of the socket, and the read then finds a regular end.
    void responseResetDuringUploadIsCut()
    {
        const std::string echo = "galenarack-request-id: " + std::string(requestId) + "\r\n";
        const std::string head = "HTTP/1.1 200 OK\r\n" + echo;
        const struct
        {
            const char *name;
            Script script;
            bool isComplete;
        } table[] = {
            {"no length, reset", {head + "\r\nok", After::Reset}, false},
            {"no length, HTTP/1.0, reset", {"HTTP/1.0 200 OK\r\n" + echo + "\r\nok", After::Reset}, false},
            {"no length, closed with unread bytes", {head + "\r\nok", After::PauseThenClose}, false},
            {"no length, closed at once with unread bytes", {head + "\r\nok", After::Close}, false},
            {"length, reset", {head + "Content-Length: 9\r\n\r\nok", After::Reset}, false},
            {"chunks, reset", {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", After::Reset}, false},
            {"no length, request read, closed", {head + "\r\nok", After::ReadThenClose}, true},
            {"no length, half-closed, request read later", {head + "\r\nok", After::HalfCloseThenRead}, true},
            {"length, request read later", {head + "Content-Length: 2\r\n\r\nok", After::ReadThenClose}, true},
            {"length, reset after it", {head + "Content-Length: 2\r\n\r\nok", After::Reset}, true},
            {"chunks, request read later", {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", After::ReadThenClose}, true},
        };
        // Larger than the socket buffers of both ends.
        constexpr std::size_t uploadBytes = 24 * 1024 * 1024;
        Mismatches mismatches;
        for (const auto &row : table) {
            asio::io_context context;
            ScriptedUpstream upstream(context, row.script);
            UpstreamLimits limits = smallLimits();
            limits.alwaysEchoesId = true;
            UpstreamPool pool(context.get_executor(), upstream.address(), limits);
            const PeerRequest request{"POST", "/records/1", {}, std::string(uploadBytes, 'x')};
            UpstreamCall call;
            const auto response = runTask(context, pool.request(request, requestId, NodeClock::now() + testTimeout, call));
            const std::string expected = row.isComplete ? "ok" : std::string(errorRow(ErrorKind::UpstreamAnswerCut).name);
            mismatches.compare(row.name, expected, kindName(response));
            if (row.isComplete && response.ok()) {
                mismatches.compare(row.name, "ok", response->body);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches.text);
    }

    /// Guards against a header section with a name that is no token (RFC 9110 section 5.1), which is passed on or hides where the body
    /// begins.
    void responseWithInvalidFieldNameIsInvalid()
    {
        const struct
        {
            const char *name;
            std::string line;
        } table[] = {
            {"blank in the name", "X Field: 1"},
            {"blank before the colon", "X-Field : 1"},
            {"tab before the colon", "X-Field\t: 1"},
            {"control byte in the name",
             "X-\x01"
             "Field: 1"},
            {"DEL in the name",
             "X-\x7f"
             "Field: 1"},
            {"NUL in the name", std::string("X-\0Field: 1", 11)},
            {"control byte first", "\x02X-Field: 1"},
            {"vertical tab first", "\x0bX-Field: 1"},
            {"byte above 127",
             "X-F\xef"
             "ield: 1"},
            {"empty name", ": 1"},
            {"no colon", "X-Field"},
            {"bare CR in the name", "X-\rField: 1"},
            {"control byte in the value", "X-Field: 1\x01"},
            {"NUL in the value", std::string("X-Field: 1\0", 11)},
        };
        const std::string status = "HTTP/1.1 200 OK\r\n";
        const std::string rest = "galenarack-request-id: " + std::string(requestId) + "\r\nContent-Length: 2\r\n";
        Mismatches mismatches;
        for (const auto &row : table) {
            for (const bool isFirst : {true, false}) {
                for (const bool alwaysEchoesId : {false, true}) {
                    asio::io_context context;
                    const std::string line = row.line + "\r\n";
                    std::string response = status;
                    response.append(isFirst ? line : rest).append(isFirst ? rest : line).append("\r\nok");
                    ScriptedUpstream upstream(context, {response});
                    UpstreamLimits limits = smallLimits();
                    limits.alwaysEchoesId = alwaysEchoesId;
                    UpstreamPool pool(context.get_executor(), upstream.address(), limits);
                    const auto result = sendRequest(context, pool, testTimeout);
                    mismatches.compare(row.name, std::string(errorRow(ErrorKind::UpstreamAnswerInvalid).name), kindName(result));
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches.text);
    }

    /// Guards against bytes in a transfer coding that this node can't remove, and that are passed on as the body without the field that
    /// names the coding.
    void responseWithOtherTransferCodingIsInvalid()
    {
        const std::string chunks = "2\r\nok\r\n0\r\n\r\n";
        const struct
        {
            const char *name;
            std::string fields;
            std::string body;
            bool isValid;
            const char *version = "HTTP/1.1";
        } table[] = {
            {"gzip", "Transfer-Encoding: gzip\r\n", "coded", false},
            {"empty", "Transfer-Encoding:\r\n", "ok", false},
            {"gzip, then chunked", "Transfer-Encoding: gzip, chunked\r\n", chunks, false},
            {"chunked, then gzip", "Transfer-Encoding: chunked, gzip\r\n", chunks, false},
            {"two fields", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", chunks, false},
            {"chunked twice", "Transfer-Encoding: chunked, chunked\r\n", chunks, false},
            {"gzip and a length", "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n", "ok", false},
            {"chunked and a length", "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", chunks, false},
            {"chunked in HTTP/1.0", "Transfer-Encoding: chunked\r\n", chunks, false, "HTTP/1.0"},
            {"chunked", "Transfer-Encoding: chunked\r\n", chunks, true},
            {"chunked in capitals", "Transfer-Encoding: Chunked\r\n", chunks, true},
        };
        const std::string echo = " 200 OK\r\ngalenarack-request-id: " + std::string(requestId) + "\r\n";
        Mismatches mismatches;
        for (const auto &row : table) {
            asio::io_context context;
            ScriptedUpstream upstream(context, {row.version + echo + row.fields + "\r\n" + row.body, After::Close});
            UpstreamLimits limits = smallLimits();
            limits.alwaysEchoesId = true;
            UpstreamPool pool(context.get_executor(), upstream.address(), limits);
            const auto response = sendRequest(context, pool, testTimeout);
            const std::string expected = row.isValid ? "ok" : std::string(errorRow(ErrorKind::UpstreamAnswerInvalid).name);
            mismatches.compare(row.name, expected, kindName(response));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches.text);
    }

    /// Guards against a coded body that is passed on to a caller who asked for none, from an upstream that codes none either, and against
    /// the loss of one that the caller asked for.
    void responseWithUnrequestedContentCodingIsInvalid()
    {
        const struct
        {
            const char *name;
            std::string coding; ///< Value of Content-Encoding.
            std::optional<std::string> accepted; ///< Value of Accept-Encoding in the request.
            bool codesOnlyOnRequest;
            bool isValid;
        } table[] = {
            {"not asked for", "gzip", std::nullopt, true, false},
            {"empty", "", std::nullopt, true, false},
            {"other one asked for", "gzip", "br, deflate", true, false},
            {"refused", "gzip", "gzip;q=0", true, false},
            {"refused with decimals", "gzip", "br, gzip; q=0.000", true, false},
            {"one of two asked for", "gzip, br", "gzip", true, false},
            {"asked for", "gzip", "br, GZIP;q=0.5", true, true},
            {"both asked for", "gzip, br", "gzip, br", true, true},
            {"any asked for", "gzip", "*", true, true},
            {"any other asked for", "gzip", "gzip;q=0, *", true, false},
            {"asked for beside a refusal of others", "gzip", "*;q=0, gzip", true, true},
            {"upstream that may code", "gzip", std::nullopt, false, true},
        };
        const std::string head = "HTTP/1.1 200 OK\r\ngalenarack-request-id: " + std::string(requestId) + "\r\nContent-Length: 2\r\n";
        Mismatches mismatches;
        for (const auto &row : table) {
            asio::io_context context;
            ScriptedUpstream upstream(context, {head + "Content-Encoding: " + row.coding + "\r\n\r\nok"});
            UpstreamLimits limits = smallLimits();
            limits.codesOnlyOnRequest = row.codesOnlyOnRequest;
            UpstreamPool pool(context.get_executor(), upstream.address(), limits);
            HeaderList headers;
            if (row.accepted) {
                headers.add("accept-encoding", *row.accepted);
            }
            const auto response = sendRequest(context, pool, testTimeout, headers);
            const std::string expected = row.isValid ? "ok" : std::string(errorRow(ErrorKind::UpstreamAnswerInvalid).name);
            mismatches.compare(row.name, expected, kindName(response));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches.text);
    }

    /// Guards against an upstream that sends bytes without end and so keeps the connection, the memory or the request until the
    /// deadline. The bound of the bytes is what the socket buffers of both ends may hold beside the limits.
    void endlessResponseIsDropped()
    {
        constexpr std::size_t maxSentBytes = 16 * 1024 * 1024;
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        const std::string filler(64 * 1024, 'x');
        const struct
        {
            const char *name;
            Script script;
            ErrorKind error;
        } table[] = {
            {"header field", {ok + "X-Long: ", After::Endless, filler}, ErrorKind::UpstreamAnswerTooLarge},
            {"header fields", {ok, After::Endless, "X-Field: value\r\n"}, ErrorKind::UpstreamAnswerTooLarge},
            {"status line", {"HTTP/1.1 200 ", After::Endless, filler}, ErrorKind::UpstreamAnswerTooLarge},
            {"body without a length", {ok + "\r\n", After::Endless, filler}, ErrorKind::UpstreamAnswerTooLarge},
            {"chunks", {ok + "Transfer-Encoding: chunked\r\n\r\n", After::Endless, "2\r\nok\r\n"}, ErrorKind::UpstreamAnswerTooLarge},
            {"chunk extension", {ok + "Transfer-Encoding: chunked\r\n\r\n2;a=", After::Endless, filler}, ErrorKind::UpstreamAnswerTooLarge},
            {"trailer",
             {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", After::Endless, "X-Field: value\r\n"},
             ErrorKind::UpstreamAnswerTooLarge},
            {"interim responses", {"", After::Endless, "HTTP/1.1 103 Early Hints\r\n\r\n"}, ErrorKind::UpstreamAnswerInvalid},
        };
        for (const auto &row : table) {
            asio::io_context context;
            ScriptedUpstream upstream(context, row.script);
            UpstreamPool pool(context.get_executor(), upstream.address(), smallLimits());
            const auto response = sendRequest(context, pool, testTimeout);
            CPPUNIT_ASSERT_MESSAGE(row.name, !response.ok());
            const std::string seen(errorRow(errorKindOf(response.status())).name);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(errorRow(row.error).name), seen);
            runUntil(context, [&upstream] {
                return upstream.endlessClosed;
            });
            CPPUNIT_ASSERT_MESSAGE(row.name, upstream.endlessBytes <= maxSentBytes);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string("ok"), sendRequest(context, pool, testTimeout)->body);
        }
    }

    /// Guards against endless bodies, each below the limit of one response, that together exceed the memory of the process, and
    /// against a short response that is dropped in place of them.
    void endlessBodiesAreDroppedBeforeOthers()
    {
        UpstreamLimits limits = smallLimits();
        limits.bodyBytes = 64 * 1024 * 1024;
        limits.totalBytes = 1024 * 1024;
        asio::io_context context;
        const std::string filler(64 * 1024, 'x');
        ScriptedUpstream upstream(context, {"HTTP/1.1 200 OK\r\n\r\n", After::Endless, filler});
        UpstreamPool pool(context.get_executor(), upstream.address(), limits);
        const auto endless = sendRequest(context, pool, testTimeout);
        CPPUNIT_ASSERT(errorKindOf(endless.status()) == ErrorKind::UpstreamAnswerTooLarge);

        ByteBudget budget(100);
        int dropped = 0;
        ByteReservation large(budget, [&dropped] {
            dropped += 1;
        });
        ByteReservation small(budget, [&dropped] {
            dropped += 10;
        });
        large.resize(95);
        small.resize(10);
        CPPUNIT_ASSERT_EQUAL(1, dropped);
        CPPUNIT_ASSERT(large.isDropped() && !small.isDropped());
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), budget.used());
    }

    /// Guards against hop-by-hop fields of the caller that change how the upstream responds, e.g. with an interim response.
    void connectionFieldsAreNotForwarded()
    {
        asio::io_context context;
        ScriptedUpstream upstream(context, {std::string(good)});
        UpstreamPool pool(context.get_executor(), upstream.address(), smallLimits());
        HeaderList headers;
        headers.add("expect", "100-continue");
        headers.add("connection", "close");
        headers.add("x-kept", "1");
        CPPUNIT_ASSERT(sendRequest(context, pool, testTimeout, headers).ok());
        CPPUNIT_ASSERT(upstream.lastRequest.find("100-continue") == std::string::npos);
        CPPUNIT_ASSERT(upstream.lastRequest.find("close") == std::string::npos);
        CPPUNIT_ASSERT(upstream.lastRequest.find("x-kept: 1") != std::string::npos);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamPoolTest);
