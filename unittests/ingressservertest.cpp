#include "asiosupport.h"

#include <galenarack/ingress/ingressserver.h>

#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <thread>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t headerLimit = 4096;
constexpr std::size_t bodyLimit = 64 * 1024;

/// Valid requests. Without a document, the response to them is 503 with not-ready.
constexpr std::string_view goodRequest = "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
constexpr std::string_view keepAliveRequest = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

/// An ingress server with all that it depends on, running in its own thread.
class RunningIngress
{
public:
    explicit RunningIngress(IngressLimits limits, const std::shared_ptr<const Document> &document = nullptr)
        : peers(
            this->context.get_executor(),
            this->identity,
            PeerLimits(),
            [] {
                return NodeReport();
            },
            [](const NodeReport &) {},
            this->paths)
        , home(this->context.get_executor(),
               this->identity,
               std::span<const HomeUpstream>(),
               UpstreamLimits(),
               LedgerLimits(),
               this->metrics,
               this->audit,
               std::mt19937_64(1))
        , directory(this->identity, this->paths, this->metrics, this->audit, std::mt19937_64(2))
        , forwarder(
              this->context.get_executor(),
              this->identity,
              [document] {
                  return document;
              },
              this->home,
              this->peers,
              this->directory,
              this->metrics,
              std::mt19937_64(3))
        , server(this->context.get_executor(), limits, this->forwarder)
    {
        CPPUNIT_ASSERT(this->server.listen(anyLoopbackPort()).ok());
        this->address = this->server.address();
        this->thread = std::thread([this] {
            this->context.run();
        });
    }

    ~RunningIngress()
    {
        // All callers have disconnected, so the event loop ends once the server has closed its connections.
        asio::post(this->context, [this] {
            this->server.stop();
        });
        this->thread.join();
    }

    tcp::endpoint address;

private:
    asio::io_context context;
    NodeIdentity identity{"fleet", "vm-1", "kl-a", Incarnation{7}};
    PathTable paths;
    Metrics metrics;
    AuditTrail audit;
    PeerClient peers;
    HomeNode home;
    UpstreamDirectory directory;
    RequestForwarder forwarder;
    IngressServer server;
    std::thread thread;
};

IngressLimits smallLimits()
{
    IngressLimits limits;
    limits.headerBytes = headerLimit;
    limits.bodyBytes = bodyLimit;
    limits.discardTimeout = testTimeout;
    return limits;
}

/// A caller with a blocking socket, whose calls time out after the hang limit.
class Caller
{
public:
    explicit Caller(const RunningIngress &ingress)
        : socket(this->context)
    {
        this->socket.connect(ingress.address);
        const timeval limit{testTimeout.count(), 0};
        setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    }

    /// @return whether all bytes were sent; false when the server closed the connection before it read them all
    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(this->socket.native_handle(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    void endSending()
    {
        this->socket.shutdown(tcp::socket::shutdown_send);
    }

    /// Reads until the server closes the connection. Fails when the connection is reset or stays open.
    /// @return the bytes that were read
    std::string readToEnd(const std::string &name)
    {
        std::string received;
        std::array<char, 4096> buffer{};
        for (;;) {
            const ssize_t length = ::recv(this->socket.native_handle(), buffer.data(), buffer.size(), 0);
            CPPUNIT_ASSERT_MESSAGE(std::string(name).append(": connection reset or left open after: ").append(received), length >= 0);
            if (length == 0) {
                return received;
            }
            received.append(buffer.data(), static_cast<std::size_t>(length));
        }
    }

    /// @return the bytes of one response that is short enough to arrive in one read
    std::string readResponse()
    {
        std::array<char, 4096> buffer{};
        const ssize_t length = ::recv(this->socket.native_handle(), buffer.data(), buffer.size(), 0);
        return {buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(length, 0))};
    }

    asio::io_context context;
    tcp::socket socket;
};

/// A document with one route to a service that has no upstream.
std::shared_ptr<const Document> documentWithoutUpstreams()
{
    const auto document = std::make_shared<Document>();
    document->services.emplace_back().name = "records";
    RouteRow route;
    route.prefix = "/a";
    document->routes = RouteTable({route});
    document->buildIndexes();
    return document;
}

void requireResponse(const std::string &name, const std::string &response, const std::string &status, const std::string &kind)
{
    CPPUNIT_ASSERT_MESSAGE(name + ": " + response, response.starts_with("HTTP/1.1 " + status + " "));
    CPPUNIT_ASSERT_MESSAGE(name + ": " + response, response.find("galenarack-error: " + kind + "\r\n") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(name + ": " + response, response.find("galenarack-execution: not-run\r\n") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(name + ": " + response, response.find("\"type\":\"urn:galenarack:error:" + kind) != std::string::npos);
}

void requireServing(const std::string &name, const RunningIngress &ingress)
{
    Caller caller(ingress);
    CPPUNIT_ASSERT_MESSAGE(name, caller.send(goodRequest));
    requireResponse(name, caller.readToEnd(name), "503", "not-ready");
}

struct Case
{
    std::string name;
    std::string request;
    std::string status; ///< Expected status; empty when the connection must end without a response.
    std::string kind; ///< Expected error kind.
    bool endsSending = false; ///< Whether the caller shuts down its sending direction after the request.
};

const std::vector<Case> &cases()
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: a\r\n";
    const std::string big(4 * 1024 * 1024, 'x');
    static const std::vector<Case> table = {
        {"length and chunked", head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400", "ambiguous-length"},
        {"chunked and length", head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", "400", "ambiguous-length"},
        {"two lengths", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400", "ambiguous-length"},
        {"one length twice", head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "400", "ambiguous-length"},
        {"length list", head + "Content-Length: 3, 3\r\n\r\nabc", "400", "ambiguous-length"},
        {"negative length", head + "Content-Length: -3\r\n\r\nabc", "400", "ambiguous-length"},
        {"signed length", head + "Content-Length: +3\r\n\r\nabc", "400", "ambiguous-length"},
        {"unknown coding", head + "Transfer-Encoding: gzip\r\n\r\nabc", "400", "ambiguous-length"},
        {"chunked is not last", head + "Transfer-Encoding: chunked, gzip\r\n\r\nabc", "400", "ambiguous-length"},
        {"coding under chunked", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400", "ambiguous-length"},
        {"chunked twice", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400", "ambiguous-length"},
        {"chunked in HTTP/1.0", "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400", "ambiguous-length"},
        {"large field", head + "X-Large: " + big + "\r\n\r\n", "431", "header-too-large"},
        {"large target", "GET /" + big + " HTTP/1.1\r\n\r\n", "431", "header-too-large"},
        {"large body", head + "Content-Length: " + std::to_string(big.size()) + "\r\n\r\n" + big, "413", "body-too-large"},
        {"large chunk", head + "Transfer-Encoding: chunked\r\n\r\n400000\r\n" + big + "\r\n0\r\n\r\n", "413", "body-too-large"},
        {"binary", std::string("\x16\x03\x01\x00\xff\r\n\r\n", 9), "400", "invalid-request"},
        {"no version", "GET /a\r\n\r\n", "400", "invalid-request"},
        {"bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400", "invalid-request"},
        {"field without colon", head + "Broken\r\n\r\n", "400", "invalid-request"},
        {"space before colon", head + "Content-Length : 3\r\n\r\nabc", "400", "invalid-request"},
        {"half-closed after the request", std::string(keepAliveRequest), "503", "not-ready", true},
        {"half-closed within the header", "GET /a HTT", "", "", true},
        {"half-closed within the body", head + "Content-Length: 10\r\n\r\nabc", "", "", true},
    };
    return table;
}

} // namespace

class IngressServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IngressServerTest);
    CPPUNIT_TEST(faultyRequestsAreRefused);
    CPPUNIT_TEST(slowWriterIsDisconnected);
    CPPUNIT_TEST(slowReaderIsDisconnected);
    CPPUNIT_TEST(connectionsAreBounded);
    CPPUNIT_TEST(longTimeoutsAreLimitedToTheRouteDeadline);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against request smuggling by an ambiguous length, against a refusal that the caller cannot read because the
    /// connection is reset, and against a malformed request that stops the server.
    void faultyRequestsAreRefused()
    {
        const RunningIngress ingress(smallLimits());
        for (const Case &row : cases()) {
            Caller caller(ingress);
            caller.send(row.request);
            if (row.endsSending) {
                caller.endSending();
            }
            const std::string response = caller.readToEnd(row.name);
            if (row.status.empty()) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(), response);
            } else {
                requireResponse(row.name, response, row.status, row.kind);
            }
            CPPUNIT_ASSERT_MESSAGE(row.name, response.find("HTTP/1.1", 1) == std::string::npos);
            requireServing(row.name, ingress);
        }
    }

    /// Guards against callers that occupy connections with idle time or unfinished requests.
    void slowWriterIsDisconnected()
    {
        IngressLimits limits = smallLimits();
        limits.idleTimeout = 200ms;
        limits.transferTimeout = 200ms;
        const RunningIngress ingress(limits);
        for (const std::string start : {"", "GET /a HT", "POST /a HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"}) {
            Caller caller(ingress);
            CPPUNIT_ASSERT(caller.send(start));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(start, std::string(), caller.readToEnd(start));
        }
        requireServing("after slow writers", ingress);
    }

    /// Guards against callers that occupy connections and memory by not reading their responses.
    void slowReaderIsDisconnected()
    {
        IngressLimits limits = smallLimits();
        limits.transferTimeout = 200ms;
        const RunningIngress ingress(limits);
        Caller caller(ingress);
        std::string burst;
        for (int i = 0; i < 1000; ++i) {
            burst += keepAliveRequest;
        }
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        bool open = true;
        while (open && std::chrono::steady_clock::now() < end) {
            open = caller.send(burst);
        }
        CPPUNIT_ASSERT(!open);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() < end);
        requireServing("after a slow reader", ingress);
    }

    /// Guards against an unlimited number of connections, and against a caller above the limit that gets no error response.
    void connectionsAreBounded()
    {
        IngressLimits limits = smallLimits();
        limits.connections = 2;
        const RunningIngress ingress(limits);
        std::optional<Caller> first(std::in_place, ingress);
        Caller second(ingress);
        for (Caller *caller : {&*first, &second}) {
            CPPUNIT_ASSERT(caller->send(keepAliveRequest));
            requireResponse("within the limit", caller->readResponse(), "503", "not-ready");
        }
        for (int i = 0; i < 20; ++i) {
            Caller third(ingress);
            third.send(goodRequest);
            const std::string response = third.readToEnd("above the limit");
            requireResponse("above the limit", response, "503", "connection-limit");
            CPPUNIT_ASSERT(response.find("Retry-After: 1\r\n") != std::string::npos
                           || response.find("retry-after: 1\r\n") != std::string::npos);
            CPPUNIT_ASSERT(response.find("Connection: close\r\n") != std::string::npos);
        }
        CPPUNIT_ASSERT(second.send(keepAliveRequest));
        requireResponse("kept", second.readResponse(), "503", "not-ready");
        first.reset();
        std::string response;
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        while (response.find("not-ready") == std::string::npos && std::chrono::steady_clock::now() < end) {
            Caller next(ingress);
            next.send(goodRequest);
            response = next.readToEnd("after one left");
        }
        requireResponse("after one left", response, "503", "not-ready");
    }

    /// Guards against a large time-out of the caller that overflows, so that the deadline would be in the past.
    void longTimeoutsAreLimitedToTheRouteDeadline()
    {
        const RunningIngress ingress(smallLimits(), documentWithoutUpstreams());
        for (const std::string timeout : {"60000", "9223372036854775", "9223372036854775807"}) {
            Caller caller(ingress);
            caller.send("GET /a HTTP/1.1\r\nConnection: close\r\nGalenarack-Timeout-Ms: " + timeout + "\r\n\r\n");
            requireResponse(timeout, caller.readToEnd(timeout), "503", "no-upstream");
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(IngressServerTest);
