#include "asiosupport.h"

#include <galenarack/core/errorkind.h>
#include <galenarack/peer/peersession.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t bodyLimit = 100'000;

PeerLimits limits()
{
    PeerLimits limits;
    limits.headerBytes = 4096;
    limits.bodyBytes = bodyLimit;
    return limits;
}

PeerRequest requestOf(std::string path, std::string body = {})
{
    PeerRequest request;
    request.method = "POST";
    request.path = std::move(path);
    request.headers.add("x-field", "value");
    request.body = std::move(body);
    return request;
}

/// Client and server session on one connection within this process. The server answers `/hold` once `released` is set. It
/// answers other paths at once: `/size/N` with a body of N bytes, `/status/N` with status N, the rest with the body of the request.
struct Pair
{
    /// @param clientLimits limits of the client session
    explicit Pair(const PeerLimits &clientLimits = limits())
    {
        tcp::acceptor acceptor(this->context, anyLoopbackPort());
        tcp::socket clientSocket(this->context);
        clientSocket.connect(acceptor.local_endpoint());
        this->serverSocket = acceptor.accept();
        this->client = std::make_shared<PeerSession>(std::move(clientSocket), PeerSession::Role::Client, clientLimits, PeerHandler());
        this->client->start();
    }

    void startServer()
    {
        const PeerHandler handler = [this](std::shared_ptr<PeerCall> call) {
            return this->handle(std::move(call));
        };
        this->server = std::make_shared<PeerSession>(std::move(*this->serverSocket), PeerSession::Role::Server, limits(), handler);
        this->server->start();
    }

    asio::awaitable<PeerResponse> handle(std::shared_ptr<PeerCall> call)
    {
        this->calls.push_back(call);
        asio::steady_timer timer(this->context);
        while (call->request.path == "/hold" && !this->released && !call->cancellation.isRequested()) {
            timer.expires_after(5ms);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        PeerResponse response;
        response.status = call->request.path.starts_with("/status/") ? std::stoul(call->request.path.substr(8)) : 201;
        response.headers.add("x-echo", call->request.headers.find("x-field").value_or(""));
        response.body
            = call->request.path.starts_with("/size/") ? std::string(std::stoul(call->request.path.substr(6)), 'x') : call->request.body;
        co_return response;
    }

    absl::StatusOr<PeerResponse> sendRequest(PeerRequest request, Duration timeout = testTimeout)
    {
        return runTask(this->context, this->client->request(std::move(request), NodeClock::now() + timeout));
    }

    /// Starts a request whose result is stored in `result`.
    void start(PeerRequest request, std::shared_ptr<Cancellation> cancellation = nullptr)
    {
        auto task = this->client->request(std::move(request), NodeClock::now() + 2 * testTimeout, std::move(cancellation));
        asio::co_spawn(this->context, std::move(task), [this](const std::exception_ptr &, absl::StatusOr<PeerResponse> response) {
            this->result = std::move(response);
        });
    }

    ErrorKind waitForError()
    {
        runUntil(this->context, [this] {
            return this->result.has_value();
        });
        CPPUNIT_ASSERT(!this->result->ok());
        return errorKindOf(this->result->status());
    }

    void waitForCalls(std::size_t count)
    {
        runUntil(this->context, [this, count] {
            return this->calls.size() >= count;
        });
    }

    asio::io_context context;
    std::optional<tcp::socket> serverSocket;
    std::shared_ptr<PeerSession> client;
    std::shared_ptr<PeerSession> server;
    std::vector<std::shared_ptr<PeerCall>> calls;
    std::optional<absl::StatusOr<PeerResponse>> result;
    bool released = false;
};

} // namespace

class PeerSessionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerSessionTest);
    CPPUNIT_TEST(requestAndResponseArriveWhole);
    CPPUNIT_TEST(bodiesAreBounded);
    CPPUNIT_TEST(bodiesInTransitAreBoundedTogether);
    CPPUNIT_TEST(connectionFieldsDoNotEndTheStream);
    CPPUNIT_TEST(goAwayRefusesNewRequests);
    CPPUNIT_TEST(unresponsivePeerIsDetectedInTime);
    CPPUNIT_TEST(silenceDuringOwnPauseIsIgnored);
    CPPUNIT_TEST(pingReplyIsReported);
    CPPUNIT_TEST(endedRequestResetsTheStream);
    CPPUNIT_TEST(closedConnectionIsPeerLost);
    CPPUNIT_TEST(responseWithInvalidStatusIsPeerLost);
    CPPUNIT_TEST(garbageClosesTheConnection);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against lost or reordered parts of messages, at sizes around that of a frame and at the limit.
    void requestAndResponseArriveWhole()
    {
        Pair pair;
        pair.startServer();
        for (const std::size_t size : {std::size_t{0}, std::size_t{1}, std::size_t{16384}, std::size_t{16385}, bodyLimit}) {
            std::string body(size, 'a');
            if (size > 1) {
                body.back() = 'z';
            }
            const auto response = pair.sendRequest(requestOf("/echo", body));
            CPPUNIT_ASSERT(response.ok());
            CPPUNIT_ASSERT_EQUAL(201U, response->status);
            CPPUNIT_ASSERT(response->body == body);
            CPPUNIT_ASSERT(response->headers.find("x-echo") == "value");
            CPPUNIT_ASSERT_EQUAL(std::string("POST"), pair.calls.back()->request.method);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pair.client->openStreams());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pair.server->openStreams());
    }

    /// Guards against a message above the limit that is processed partially or closes the connection.
    void bodiesAreBounded()
    {
        Pair pair;
        pair.startServer();
        for (const std::size_t size : {bodyLimit + 1, bodyLimit + 16384, 3 * bodyLimit}) {
            CPPUNIT_ASSERT(!pair.sendRequest(requestOf("/echo", std::string(size, 'x'))).ok());
            const auto response = pair.sendRequest(requestOf("/size/" + std::to_string(size)));
            CPPUNIT_ASSERT(errorKindOf(response.status()) == ErrorKind::UpstreamAnswerTooLarge);
        }
        for (const auto &call : pair.calls) {
            CPPUNIT_ASSERT_MESSAGE("a request with a truncated body was handled", call->request.path != "/echo");
        }
        PeerRequest wide = requestOf("/echo");
        wide.headers.add("x-wide", std::string(5000, 'x'));
        CPPUNIT_ASSERT(!pair.sendRequest(wide).ok());
        CPPUNIT_ASSERT(pair.sendRequest(requestOf("/echo", "still open")).ok());
    }

    /// Guards against bodies, each within the limit of one message, that together exceed the memory of the process, and against
    /// a small message that is dropped in place of a large one.
    void bodiesInTransitAreBoundedTogether()
    {
        PeerLimits clientLimits = limits();
        clientLimits.bodyBudget = std::make_shared<ByteBudget>(bodyLimit / 2);
        Pair pair(clientLimits);
        pair.startServer();
        const auto large = pair.sendRequest(requestOf("/size/" + std::to_string(bodyLimit)));
        CPPUNIT_ASSERT(errorKindOf(large.status()) == ErrorKind::UpstreamAnswerTooLarge);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, clientLimits.bodyBudget->used());

        pair.start(requestOf("/size/" + std::to_string(bodyLimit)));
        const auto small = pair.sendRequest(requestOf("/size/1000"));
        CPPUNIT_ASSERT(small.ok() && small->body.size() == 1000);
        CPPUNIT_ASSERT(pair.waitForError() == ErrorKind::UpstreamAnswerTooLarge);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, clientLimits.bodyBudget->used());
    }

    /// Guards against a caller's `Connection: keep-alive` that makes the peer reset the stream (RFC 9113 section 8.2.2).
    void connectionFieldsDoNotEndTheStream()
    {
        for (const std::string name : {"connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade", "te"}) {
            Pair pair;
            pair.startServer();
            PeerRequest request = requestOf("/echo");
            request.headers.add(name, "keep-alive");
            CPPUNIT_ASSERT_MESSAGE(name, pair.sendRequest(request).ok());
            CPPUNIT_ASSERT_MESSAGE(name, !pair.calls.back()->request.headers.find(name));
        }
    }

    /// Guards against new requests that are sent to a leaving node, and against requests in flight that GOAWAY interrupts.
    void goAwayRefusesNewRequests()
    {
        Pair pair;
        pair.startServer();
        pair.start(requestOf("/hold"));
        pair.waitForCalls(1);
        pair.server->sendGoAway();
        runUntil(pair.context, [&pair] {
            return !pair.client->isUsable();
        });
        CPPUNIT_ASSERT(errorKindOf(pair.sendRequest(requestOf("/echo")).status()) == ErrorKind::PeerUnreachable);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pair.calls.size());
        pair.released = true;
        runUntil(pair.context, [&pair] {
            return pair.result.has_value();
        });
        CPPUNIT_ASSERT(pair.result->ok());
    }

    /// Guards against a request that waits on a connection whose state was lost by a device on the path. The clock is virtual.
    void unresponsivePeerIsDetectedInTime()
    {
        Pair pair;
        pair.start(requestOf("/hold"));
        runFor(pair.context, 20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pair.client->openStreams());
        const TimePoint last = pair.client->lastReceived();
        Duration elapsed = 0ms;
        while (pair.client->isOpen() && elapsed < 10s) {
            elapsed += 250ms;
            pair.client->checkLiveness(last + elapsed, false);
        }
        CPPUNIT_ASSERT(elapsed >= 1s);
        CPPUNIT_ASSERT(elapsed <= 2s);
        CPPUNIT_ASSERT(pair.waitForError() == ErrorKind::PeerLost);
    }

    /// Guards against connections that a node closes because it was paused itself.
    void silenceDuringOwnPauseIsIgnored()
    {
        Pair pair;
        pair.start(requestOf("/hold"));
        runFor(pair.context, 20ms);
        const TimePoint last = pair.client->lastReceived();
        pair.client->checkLiveness(last + 600ms, false);
        pair.client->checkLiveness(last + 60s, true);
        CPPUNIT_ASSERT(pair.client->isOpen());
        pair.client->checkLiveness(last + 62s, false);
        CPPUNIT_ASSERT(!pair.client->isOpen());
    }

    /// Guards against a path that is considered unresponsive although its PING was answered.
    void pingReplyIsReported()
    {
        Pair pair;
        pair.startServer();
        pair.start(requestOf("/hold"));
        runFor(pair.context, 20ms);
        pair.client->checkLiveness(pair.client->lastReceived() + 600ms, false);
        CPPUNIT_ASSERT(pair.client->unansweredPing());
        CPPUNIT_ASSERT(!pair.client->lastPingReply());
        runFor(pair.context, 50ms);
        CPPUNIT_ASSERT(!pair.client->unansweredPing());
        CPPUNIT_ASSERT(pair.client->lastPingReply());
    }

    /// Guards against a request that continues to run after its caller disconnected or its deadline passed.
    void endedRequestResetsTheStream()
    {
        Pair pair;
        pair.startServer();
        const auto cancellation = std::make_shared<Cancellation>();
        pair.start(requestOf("/hold"), cancellation);
        pair.waitForCalls(1);
        cancellation->request();
        CPPUNIT_ASSERT(pair.waitForError() == ErrorKind::Cancelled);
        CPPUNIT_ASSERT(errorKindOf(pair.sendRequest(requestOf("/hold"), 100ms).status()) == ErrorKind::Timeout);
        // A request that times out while most of its body is not yet sent.
        CPPUNIT_ASSERT(errorKindOf(pair.sendRequest(requestOf("/echo", std::string(50 * bodyLimit, 'x')), 0ms).status())
                       == ErrorKind::Timeout);
        runUntil(pair.context, [&pair] {
            return pair.server->openStreams() == 0 && pair.client->openStreams() == 0;
        });
        for (const auto &call : pair.calls) {
            CPPUNIT_ASSERT(call->cancellation.isRequested());
        }
        CPPUNIT_ASSERT(pair.sendRequest(requestOf("/echo", "still open")).ok());
    }

    /// Guards against a request reported as not run although the peer may have received it before the connection was lost.
    void closedConnectionIsPeerLost()
    {
        Pair pair;
        pair.startServer();
        pair.start(requestOf("/hold"));
        pair.waitForCalls(1);
        pair.server->close();
        CPPUNIT_ASSERT(pair.waitForError() == ErrorKind::PeerLost);
        CPPUNIT_ASSERT(pair.calls[0]->cancellation.isRequested());
        CPPUNIT_ASSERT(errorKindOf(pair.sendRequest(requestOf("/echo")).status()) == ErrorKind::PeerUnreachable);
    }

    /// Guards against a number that is no status, which a peer sends and the caller gets, and against other requests that end with it.
    void responseWithInvalidStatusIsPeerLost()
    {
        std::string mismatches;
        for (const unsigned status : {0U, 1U, 99U, 100U, 101U, 103U, 600U, 999U, 1000U, 200U, 204U, 304U, 404U, 599U}) {
            const bool isValid = status >= 200 && status <= 599;
            const std::string body = status == 204 || status == 304 ? "" : "ok";
            Pair pair;
            pair.startServer();
            pair.start(requestOf("/hold"));
            pair.waitForCalls(1);
            const auto response = pair.sendRequest(requestOf("/status/" + std::to_string(status), body), 2s);
            const bool isExpected = isValid ? response.ok() && response->status == status
                                            : !response.ok() && errorKindOf(response.status()) == ErrorKind::PeerLost;
            mismatches += isExpected ? "" : "status " + std::to_string(status) + "; ";
            pair.released = true;
            runUntil(pair.context, [&pair] {
                return pair.result.has_value();
            });
            mismatches += pair.result->ok() ? "" : "other request beside status " + std::to_string(status) + "; ";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches);
    }

    /// Guards against data of another protocol that crashes the node or leaves the connection open.
    void garbageClosesTheConnection()
    {
        Pair pair;
        pair.start(requestOf("/hold"));
        runFor(pair.context, 20ms);
        asio::write(*pair.serverSocket, asio::buffer(std::string(20'000, '\xff')));
        CPPUNIT_ASSERT(pair.waitForError() == ErrorKind::PeerLost);
        CPPUNIT_ASSERT(!pair.client->isOpen());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerSessionTest);
