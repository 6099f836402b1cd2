#include <galenarack/operators/operatorserver.h>

#include <galenarack/core/errorkind.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <optional>

namespace Galenarack {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view jsonType = "application/json";
constexpr std::string_view problemType = "application/problem+json";
constexpr std::string_view metricsType = "text/plain; version=0.0.4; charset=utf-8";

/// Path and query of a request target, decoded.
struct Target
{
    std::string path;
    std::map<std::string, std::string, std::less<>> query;
};

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            out.push_back(text[i]);
            continue;
        }
        const auto byte = i + 2 < text.size() ? fromHex(text.substr(i + 1, 2)) : std::nullopt;
        if (!byte) {
            return std::nullopt;
        }
        out.push_back(static_cast<char>(*byte));
        i += 2;
    }
    return out;
}

/// @return the decoded target; nothing when it is not in origin form or a percent-encoding is malformed
std::optional<Target> parseTarget(std::string_view target)
{
    if (!target.starts_with('/')) {
        return std::nullopt;
    }
    const std::size_t mark = target.find('?');
    Target out;
    const auto path = percentDecode(target.substr(0, mark));
    if (!path) {
        return std::nullopt;
    }
    out.path = *path;
    std::string_view rest = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        const auto key = percentDecode(pair.substr(0, equals));
        const auto value = percentDecode(equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1));
        if (!key || !value) {
            return std::nullopt;
        }
        out.query[*key] = *value;
    }
    return out;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

http::response<http::string_body> textResponse(unsigned status, std::string_view type, std::string body)
{
    http::response<http::string_body> response;
    response.result(status);
    response.set(http::field::content_type, type);
    response.set(http::field::cache_control, "no-store");
    response.body() = std::move(body);
    return response;
}

http::response<http::string_body> jsonResponse(unsigned status, const nlohmann::ordered_json &body)
{
    return textResponse(status, jsonType, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

http::response<http::string_body> errorResponse(ErrorKind kind, std::string_view detail)
{
    return textResponse(errorRow(kind).httpStatus, problemType, problemBody(kind, detail, ""));
}

ExplainQuery explainQuery(const Target &target, std::string_view rest)
{
    const std::size_t slash = rest.find('/');
    ExplainQuery query;
    query.subject = rest.substr(0, slash);
    query.name = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
    query.parameters = target.query;
    return query;
}

} // namespace

OperatorServer::OperatorServer(asio::io_context &context,
                               const asio::ip::tcp::endpoint &local,
                               OperatorSources sources,
                               OperatorLimits limits)
    : acceptor(context, local)
    , sources(std::move(sources))
    , limits(limits)
{
}

void OperatorServer::start()
{
    asio::co_spawn(this->acceptor.get_executor(), this->acceptLoop(), asio::detached);
}

void OperatorServer::stop()
{
    this->stopped = true;
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    for (beast::tcp_stream &stream : this->streams) {
        stream.close();
    }
}

asio::ip::tcp::endpoint OperatorServer::localEndpoint() const
{
    return this->acceptor.local_endpoint();
}

asio::awaitable<void> OperatorServer::acceptLoop()
{
    while (!this->stopped) {
        auto [error, socket] = co_await this->acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (this->stopped) {
            co_return;
        }
        if (error) {
            this->log.warn("accepting a connection failed", {{"error", error.message()}});
            // The process may have run out of file descriptors; without a delay the loop would spin until one is free.
            asio::steady_timer timer(this->acceptor.get_executor(), std::chrono::milliseconds(100));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        if (this->streams.size() >= this->limits.maxConnections) {
            // Closed without a response, as writing one could block on this client.
            continue;
        }
        this->streams.emplace_front(std::move(socket));
        asio::co_spawn(this->acceptor.get_executor(), this->serveConnection(this->streams.begin()), asio::detached);
    }
}

asio::awaitable<void> OperatorServer::serveConnection(Streams::iterator stream)
{
    std::string buffer;
    while (co_await this->serveRequest(*stream, buffer)) { }
    stream->close();
    this->streams.erase(stream);
}

asio::awaitable<bool> OperatorServer::serveRequest(beast::tcp_stream &stream, std::string &buffer)
{
    // The idle time-out covers the wait for the first bytes, the request time-out the rest of the request and its reply.
    auto dynamic = asio::dynamic_buffer(buffer, this->limits.maxHeaderBytes);
    if (buffer.empty()) {
        stream.expires_after(this->limits.idleTimeout);
        const std::size_t chunk = 1024;
        buffer.resize(chunk);
        const auto [error, count] = co_await stream.async_read_some(asio::buffer(buffer), asio::as_tuple(asio::use_awaitable));
        buffer.resize(count);
        if (error) {
            co_return false;
        }
    }
    stream.expires_after(this->limits.requestTimeout);
    http::request_parser<http::string_body> parser;
    parser.header_limit(this->limits.maxHeaderBytes);
    parser.body_limit(this->limits.maxHeaderBytes);
    const auto [readError, readCount] = co_await http::async_read(stream, dynamic, parser, asio::as_tuple(asio::use_awaitable));
    Response response;
    bool keepAlive = false;
    if (readError) {
        if (readError == http::error::header_limit || readError == http::error::buffer_overflow) {
            response = errorResponse(ErrorKind::HeaderTooLarge, "the header fields exceed the limit of the operators' port");
        } else if (readError == http::error::body_limit) {
            response = errorResponse(ErrorKind::BodyTooLarge, "the request body exceeds the limit of the operators' port");
        } else if (readError.category() == http::make_error_code(http::error::bad_method).category()
                   && readError != http::error::end_of_stream && readError != http::error::partial_message) {
            response = errorResponse(ErrorKind::InvalidRequest, readError.message());
        } else {
            co_return false;
        }
    } else {
        response = co_await this->reply(parser.get());
        keepAlive = parser.get().keep_alive();
    }
    response.keep_alive(keepAlive);
    response.prepare_payload();
    if (parser.is_header_done() && parser.get().method() == http::verb::head) {
        response.body().clear();
    }
    const auto [writeError, writeCount] = co_await http::async_write(stream, response, asio::as_tuple(asio::use_awaitable));
    co_return !writeError && keepAlive;
}

asio::awaitable<OperatorServer::Response> OperatorServer::reply(const Request &request) const
{
    if (request.method() != http::verb::get && request.method() != http::verb::head) {
        Response response = errorResponse(ErrorKind::MethodNotAllowed, "the operators' port accepts only GET and HEAD");
        response.set(http::field::allow, "GET, HEAD");
        co_return response;
    }
    std::string failure;
    try {
        co_return co_await this->route(request);
    } catch (const std::exception &error) {
        failure = error.what();
    }
    this->log.error("request handler failed", {{"target", request.target()}, {"error", failure}});
    co_return errorResponse(ErrorKind::Internal, failure);
}

asio::awaitable<OperatorServer::Response> OperatorServer::route(const Request &request) const
{
    constexpr std::string_view outcomePrefix = "/outcome/";
    constexpr std::string_view explainPrefix = "/explain/";
    const auto target = parseTarget(request.target());
    if (!target) {
        co_return errorResponse(ErrorKind::InvalidRequest, "malformed request target");
    }
    const std::string_view path = target->path;
    if (path == "/healthz") {
        co_return textResponse(200, "text/plain", "ok\n");
    }
    if (path == "/readyz" && this->sources.readiness) {
        const Readiness readiness = this->sources.readiness();
        co_return jsonResponse(readiness.ready ? 200 : 503, {{"ready", readiness.ready}, {"reason", readiness.reason}});
    }
    if (path == "/metrics" && this->sources.metrics) {
        co_return textResponse(200, metricsType, this->sources.metrics());
    }
    if (path == "/status" && this->sources.status) {
        co_return jsonResponse(200, toJson(this->sources.status()));
    }
    if (path == "/upstreams" && this->sources.upstreams) {
        nlohmann::ordered_json list = nlohmann::ordered_json::array();
        for (const UpstreamStatus &upstream : this->sources.upstreams()) {
            list.push_back(toJson(upstream));
        }
        co_return jsonResponse(200, {{"upstreams", std::move(list)}});
    }
    if (path == "/audit" && this->sources.audit) {
        const auto after = target->query.find("after");
        const auto number = after == target->query.end() ? std::optional<std::uint64_t>(0) : parseNumber(after->second);
        if (!number) {
            co_return errorResponse(ErrorKind::InvalidRequest, "'after' must be a record number");
        }
        co_return jsonResponse(200, this->sources.audit(*number));
    }
    if (path.starts_with(outcomePrefix) && this->sources.outcome) {
        const auto id = RequestId::fromString(path.substr(outcomePrefix.size()));
        if (!id) {
            co_return errorResponse(ErrorKind::InvalidRequest, "a request ID must have 32 hexadecimal digits");
        }
        const OperatorReply reply = co_await this->sources.outcome(*id);
        co_return jsonResponse(reply.status, reply.body);
    }
    if (path.starts_with(explainPrefix) && this->sources.explain) {
        const OperatorReply reply = this->sources.explain(explainQuery(*target, path.substr(explainPrefix.size())));
        co_return jsonResponse(reply.status, reply.body);
    }
    co_return errorResponse(ErrorKind::RouteNotFound, "unknown path on the operators' port");
}

} // namespace Galenarack
