#include "upstreamconnection.h"

#include <galenarack/core/digest.h>
#include <galenarack/core/scopeguard.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

#include <sys/socket.h>

namespace Galenarack::StandIns {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto quiet = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t bodyLimit = std::size_t(8) << 20;
constexpr std::string_view requestIdHeader = "galenarack-request-id";
constexpr std::string_view deadlineHeader = "galenarack-deadline-unix-ms";
constexpr std::string_view keyHeader = "idempotency-key";
constexpr std::string_view tokenHeader = "x-load-token";
constexpr std::string_view drainHeader = "Galenarack-Drain";
constexpr std::string_view executionHeader = "Galenarack-Execution";
constexpr std::string_view json = "application/json";

/// Interval at which a hanging or stuck run checks whether the fault has been cleared.
constexpr auto hangCheckInterval = std::chrono::milliseconds(10);

std::string headerValue(const HttpRequest &request, std::string_view name)
{
    return std::string(request[name]);
}

/// @return whether the deadline of the request, if any, has passed
bool deadlinePassed(const HttpRequest &request)
{
    const std::string text = headerValue(request, deadlineHeader);
    std::int64_t deadline = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), deadline);
    return error == std::errc() && unixMilliseconds() >= deadline;
}

/// Returns a response body that identifies its request, so that clients detect mismatched responses.
std::string makeBody(const HttpRequest &request, const std::string &upstream, const UpstreamSettings &settings)
{
    nlohmann::json body = {
        {"upstream", upstream},
        {"request_id", headerValue(request, requestIdHeader)},
        {"token", headerValue(request, tokenHeader)},
        {"method", std::string(request.method_string())},
        {"target", std::string(request.target())},
        {"body_digest", sha256Hex(request.body())},
    };
    if (settings.responseBytes > 0) {
        body["padding"] = std::string(settings.responseBytes, 'x');
    }
    return body.dump();
}

/// Returns the response as it is sent over HTTP/1.1.
std::string serialize(const HttpResponse &response)
{
    std::ostringstream stream;
    stream << response;
    return stream.str();
}

} // namespace

UpstreamConnection::UpstreamConnection(Upstream &upstream, Tcp::socket socket)
    : upstream(upstream)
    , socket(std::move(socket))
    , timer(upstream.context)
{
}

asio::awaitable<void> UpstreamConnection::serve()
{
    boost::system::error_code ignored;
    this->socket.set_option(Tcp::no_delay(true), ignored);
    Next next = Next::Keep;
    while (next == Next::Keep) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(bodyLimit);
        const auto [error, bytes] = co_await http::async_read(this->socket, this->buffer, parser, quiet);
        if (error) {
            break;
        }
        const HttpRequest request = parser.release();
        next = co_await this->serveRequest(request);
    }
    this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
    this->socket.close(ignored);
}

asio::awaitable<UpstreamConnection::Next> UpstreamConnection::serveRequest(const HttpRequest &request)
{
    const Target target(request.target());
    if (target.path == "/health") {
        co_return co_await this->write(makeResponse(request, 200, json, R"({"status":"good"})"));
    }
    if (target.path == "/drain") {
        const bool draining = this->upstream.settings.draining;
        co_return co_await this->write(this->makeTextResponse(request, draining ? 503 : 200, draining ? "draining" : "serving"));
    }
    ++this->upstream.counters.requests;
    const UpstreamSettings settings = this->upstream.effectiveSettings();
    if (this->upstream.draw(settings.shedShare)) {
        ++this->upstream.counters.shed;
        co_return co_await this->write(this->makeTextResponse(request, 503, "shedding load"));
    }
    const std::optional<std::size_t> slot = this->upstream.acquireSlot();
    if (!slot) {
        ++this->upstream.counters.excess;
        co_return co_await this->write(this->makeTextResponse(request, 503, "all slots are taken"));
    }
    const ScopeGuard release([this, slot] {
        this->upstream.slotInUse[*slot] = false;
    });
    if (deadlinePassed(request)) {
        ++this->upstream.counters.late;
        co_return co_await this->write(this->makeTextResponse(request, 504, "the deadline has passed"));
    }
    co_return co_await this->runRequest(request, settings, *slot);
}

asio::awaitable<UpstreamConnection::Next> UpstreamConnection::runRequest(const HttpRequest &request,
                                                                         const UpstreamSettings &settings,
                                                                         std::size_t slot)
{
    const Target target(request.target());
    std::string requestId = headerValue(request, requestIdHeader);
    Run run;
    run.upstream = this->upstream.upstreamName;
    run.requestId = requestId;
    run.key = headerValue(request, keyHeader);
    run.method = request.method_string();
    run.path = target.path;
    const std::size_t handle = this->upstream.runs.begin(std::move(run));
    ++this->upstream.running;
    this->upstream.counters.maxRunning = std::max(this->upstream.counters.maxRunning, this->upstream.running);

    const bool finished = co_await this->waitForRun(this->upstream.drawDuration(settings, target.path), slot);
    --this->upstream.running;
    if (!finished) {
        this->upstream.runs.end(handle, RunState::Cancelled, 0);
        co_return Next::Close;
    }

    const bool failed = this->upstream.draw(settings.errorShare);
    std::string body = makeBody(request, this->upstream.upstreamName, settings);
    std::swap(requestId, this->upstream.lastRequestId);
    std::swap(body, this->upstream.lastBody);
    const bool wrong = this->upstream.draw(settings.wrongShare) && !body.empty();
    HttpResponse response = makeResponse(request, failed ? 500 : 200, json, wrong ? body : this->upstream.lastBody);
    this->addFleetHeaders(response, wrong ? requestId : this->upstream.lastRequestId);

    const unsigned status = response.result_int();
    Next next = Next::Close;
    bool written = true;
    if (this->upstream.draw(settings.truncatedShare)) {
        next = co_await this->writeTruncated(std::move(response));
    } else if (this->upstream.draw(settings.overlongShare)) {
        next = co_await this->writeOverlong(std::move(response));
    } else {
        const bool keepAlive = response.keep_alive();
        next = co_await this->write(std::move(response));
        written = next == Next::Keep || !keepAlive;
    }
    this->upstream.runs.end(handle, written ? RunState::Answered : RunState::Cut, status);
    co_return next;
}

asio::awaitable<bool> UpstreamConnection::waitForRun(std::chrono::microseconds duration, std::size_t slot)
{
    this->watchPeer();
    const auto end = std::chrono::steady_clock::now() + duration;
    while (!this->peerClosed) {
        const auto now = std::chrono::steady_clock::now();
        const UpstreamSettings settings = this->upstream.effectiveSettings();
        const bool held = settings.hang || slot < settings.stuckSlots;
        if (now >= end && !held) {
            break;
        }
        co_await sleepFor(this->timer, now < end ? end - now : hangCheckInterval);
    }
    boost::system::error_code ignored;
    this->socket.cancel(ignored);
    co_return !this->peerClosed;
}

void UpstreamConnection::watchPeer()
{
    this->socket.async_wait(Tcp::socket::wait_read, [self = this->shared_from_this()](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        char byte = 0;
        // A readable socket without data means that the peer closed the connection; data belongs to the next request.
        if (::recv(self->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0) {
            self->peerClosed = true;
            self->timer.cancel();
        }
    });
}

HttpResponse UpstreamConnection::makeTextResponse(const HttpRequest &request, unsigned status, std::string_view reason) const
{
    HttpResponse response = makeResponse(request, status, "text/plain", std::string(reason) + "\n");
    if (status == 503) {
        response.set(http::field::retry_after, "1");
        response.set(executionHeader, "not-run");
    }
    this->addFleetHeaders(response, headerValue(request, requestIdHeader));
    return response;
}

void UpstreamConnection::addFleetHeaders(HttpResponse &response, std::string_view requestId) const
{
    if (this->upstream.settings.echo && !requestId.empty()) {
        response.set(requestIdHeader, requestId);
    }
    if (this->upstream.settings.draining) {
        response.set(drainHeader, "1");
    }
}

asio::awaitable<UpstreamConnection::Next> UpstreamConnection::write(HttpResponse response)
{
    const auto [error, bytes] = co_await http::async_write(this->socket, response, quiet);
    co_return error || !response.keep_alive() ? Next::Close : Next::Keep;
}

asio::awaitable<UpstreamConnection::Next> UpstreamConnection::writeTruncated(HttpResponse response)
{
    std::string bytes = serialize(response);
    bytes.resize(bytes.size() - (response.body().size() + 1) / 2);
    co_await asio::async_write(this->socket, asio::buffer(bytes), quiet);
    co_return Next::Close;
}

asio::awaitable<UpstreamConnection::Next> UpstreamConnection::writeOverlong(HttpResponse response)
{
    const std::string bytes = serialize(response) + "bytes beyond the stated length";
    const auto [error, written] = co_await asio::async_write(this->socket, asio::buffer(bytes), quiet);
    co_return error || !response.keep_alive() ? Next::Close : Next::Keep;
}

} // namespace Galenarack::StandIns
