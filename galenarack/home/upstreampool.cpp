#include <galenarack/home/upstreampool.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/core/scopeguard.h>
#include <galenarack/core/text.h>
#include <galenarack/http/requestwrite.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace Galenarack {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// Fields that belong to one connection and are not forwarded (RFC 9110 section 7.6.1). `expect` is among them because the
/// ingress has read the whole body, and so has answered the expectation, before it forwards the request.
constexpr std::array<std::string_view, 9> hopByHopFields
    = {"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect"};

/// Number of error responses after which a connection is closed, which bounds the ids that are kept for it.
constexpr std::size_t failedRequestLimit = 64;

bool isHopByHop(std::string_view name)
{
    return std::ranges::find(hopByHopFields, name) != hopByHopFields.end();
}

/// Takes the body out of the request, so that a long one is not held twice.
http::request<http::string_body> toBeast(PeerRequest &request, const asio::ip::tcp::endpoint &address)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.path);
    message.body() = std::move(request.body);
    for (const HeaderField &field : request.headers.all()) {
        if (!isHopByHop(field.name)) {
            message.insert(field.name, field.value);
        }
    }
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, address.address().to_string() + ":" + std::to_string(address.port()));
    }
    message.prepare_payload();
    return message;
}

PeerResponse fromBeast(http::response<http::string_body> &message)
{
    PeerResponse response;
    response.status = message.result_int();
    for (const auto &field : message) {
        std::string name = toLowerAscii(std::string_view(field.name_string().data(), field.name_string().size()));
        if (!isHopByHop(name)) {
            response.headers.add(name, std::string_view(field.value().data(), field.value().size()));
        }
    }
    response.body = std::move(message.body());
    return response;
}

std::size_t hashOf(std::string_view requestId)
{
    return std::hash<std::string_view>()(requestId);
}

bool isSuccess(unsigned status)
{
    return status / 100 == 2;
}

absl::Status readError(const beast::error_code &error, TimePoint deadline)
{
    if (NodeClock::now() >= deadline || error == beast::error::timeout) {
        return makeError(ErrorKind::Timeout, "the upstream did not respond before the deadline");
    }
    if (error == http::error::body_limit || error == http::error::header_limit || error == http::error::buffer_overflow) {
        return makeError(ErrorKind::UpstreamAnswerTooLarge, "the upstream's response exceeds the size limit");
    }
    if (error.category() == http::make_error_code(http::error::end_of_stream).category() && error != http::error::end_of_stream
        && error != http::error::partial_message) {
        return makeError(ErrorKind::UpstreamAnswerInvalid, "malformed response of the upstream: " + error.message());
    }
    return makeError(ErrorKind::UpstreamAnswerCut, "the connection to the upstream ended before the response was complete");
}

/// A connection is not reused during this last part of the upstream's keep-alive time. A request that is in transit when the
/// upstream closes the connection gets no response.
constexpr Duration idleMargin = std::chrono::milliseconds(1000);

/// @return the longest idle time after which the connection of this response may be reused, from its Keep-Alive field;
///         unlimited without a time-out there
Duration idleLimitOf(const http::response<http::string_body> &message)
{
    constexpr std::string_view parameter = "timeout=";
    const std::string_view field(message[http::field::keep_alive].data(), message[http::field::keep_alive].size());
    const std::size_t start = field.find(parameter);
    std::int64_t seconds = 0;
    if (start == std::string_view::npos) {
        return Duration::max();
    }
    const std::string_view text = field.substr(start + parameter.size());
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::max<Duration>(std::chrono::seconds(seconds) - idleMargin, Duration::zero());
}

/// @return whether a connection can carry the next request. One that is readable was closed by the upstream or holds bytes that
///         belong to no request.
bool isOpenAndEmpty(asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    char byte = 0;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

/// @return values of all Accept-Encoding fields of a request, each with a comma at its end: without one, ext_list of Boost 1.81 gives
///         the last coding of a list the parameters of the one before
std::string acceptEncodingOf(const PeerRequest &request)
{
    std::string list;
    for (const HeaderField &field : request.headers.all()) {
        if (field.name == "accept-encoding") {
            list.append(field.value).append(",");
        }
    }
    return list;
}

/// @return whether a value of Accept-Encoding accepts this content coding, by its name or else by `*` (RFC 9110 section 12.5.3)
bool acceptsContentCoding(std::string_view acceptEncoding, beast::string_view coding)
{
    bool acceptsOthers = false;
    for (const auto &[name, parameters] : http::ext_list(beast::string_view(acceptEncoding.data(), acceptEncoding.size()))) {
        const bool isAccepted = std::ranges::none_of(parameters, [](const auto &parameter) {
            return beast::iequals(parameter.first, "q") && parameter.second.find_first_not_of("0.") == beast::string_view::npos;
        });
        if (beast::iequals(name, coding)) {
            return isAccepted;
        }
        acceptsOthers = name == "*" ? isAccepted : acceptsOthers;
    }
    return acceptsOthers;
}

/// @return whether the request accepts all content codings of the response
bool acceptsContentCodings(const PeerRequest &request, const ResponseReader::Message &response)
{
    const auto [first, last] = response.equal_range(http::field::content_encoding);
    if (first == last) {
        return true;
    }
    const std::string accepted = acceptEncodingOf(request);
    return std::all_of(first, last, [&accepted](const auto &field) {
        const http::token_list codings(field.value());
        return codings.begin() != codings.end() && std::all_of(codings.begin(), codings.end(), [&accepted](const auto &coding) {
                   return acceptsContentCoding(accepted, coding);
               });
    });
}

} // namespace

UpstreamPool::UpstreamPool(asio::any_io_executor executor, asio::ip::tcp::endpoint address, UpstreamLimits limits)
    : executor(std::move(executor))
    , address(std::move(address))
    , limits(std::move(limits))
    , budget(this->limits.totalBytes)
{
}

asio::awaitable<absl::StatusOr<PeerResponse>> UpstreamPool::request(PeerRequest request,
                                                                    std::string_view requestId,
                                                                    TimePoint deadline,
                                                                    UpstreamCall &call)
{
    bool isAborted = false;
    call.abort = [&isAborted] {
        isAborted = true;
    };
    const ScopeGuard finished([&call] {
        call.abort = nullptr;
    });
    auto acquired = co_await this->acquireConnection(requestId, deadline);
    if (!acquired.ok()) {
        co_return acquired.status();
    }
    if (isAborted) {
        this->pushIdle(std::move(*acquired));
        co_return makeError(ErrorKind::Cancelled, "the request was cancelled before it was sent to the upstream");
    }
    const std::unique_ptr<Connection> connection = std::move(*acquired);
    beast::tcp_stream &stream = connection->stream;
    call.abort = [&stream] {
        stream.close();
    };

    const auto write = std::make_shared<RequestWrite>(this->executor, toBeast(request, this->address));
    stream.expires_after(std::max(deadline - NodeClock::now(), Duration(1)));
    write->start(stream.socket());
    ResponseReader reader(stream, {this->limits.headerBytes, this->limits.bodyBytes}, request.method == "HEAD", write);
    ByteReservation reservation(this->budget, [&stream] {
        stream.close();
    });
    if (const auto error = co_await this->readResponse(reader, reservation, requestId, call)) {
        co_return reservation.isDropped()
            ? makeError(ErrorKind::UpstreamAnswerTooLarge, "the responses in transit exceed their size limit, and this is the largest")
            : readError(error, deadline);
    }
    if (absl::Status status = this->checkResponse(reader, request, requestId); !status.ok()) {
        co_return status;
    }
    bool isReusable = reader.isConnectionReusable();
    if (!isSuccess(reader.message().result_int())) {
        const bool hasEcho = reader.message().count(this->limits.requestIdField) != 0;
        isReusable = isReusable && hasEcho && connection->failedRequests.size() < failedRequestLimit;
        connection->failedRequests.push_back(hashOf(requestId));
    }
    http::response<http::string_body> beastResponse = reader.release();
    if (isReusable) {
        const Duration idleLimit = std::min(this->limits.idleTimeout, idleLimitOf(beastResponse));
        this->pushIdle(std::make_unique<Connection>(
            Connection{std::move(stream), NodeClock::now(), idleLimit, std::move(connection->failedRequests)}));
    }
    co_return fromBeast(beastResponse);
}

asio::awaitable<beast::error_code> UpstreamPool::readResponse(ResponseReader &reader,
                                                              ByteReservation &reservation,
                                                              std::string_view requestId,
                                                              const UpstreamCall &call) const
{
    bool isHeaderReported = false;
    while (!reader.isDone()) {
        const beast::error_code error = co_await reader.readSome();
        reservation.resize(reader.heldBytes());
        if (!isHeaderReported && reader.isHeaderDone()) {
            isHeaderReported = true;
            this->reportHeader(reader.message(), requestId, call);
        }
        if (error) {
            co_return error;
        }
        if (reservation.isDropped()) {
            co_return http::error::body_limit;
        }
        const bool mayBeStale = this->limits.alwaysEchoesId && reader.isDone() && !reader.endsWithConnection();
        if (mayBeStale && this->echoesOtherId(reader.message(), requestId)) {
            if (const beast::error_code excess = reader.skip()) {
                co_return excess;
            }
            isHeaderReported = false;
        }
    }
    co_return beast::error_code();
}

void UpstreamPool::reportHeader(const ResponseReader::Message &header, std::string_view requestId, const UpstreamCall &call) const
{
    const std::size_t echoCount = header.count(this->limits.requestIdField);
    const bool isIdentified = echoCount == 1 || (echoCount == 0 && (requestId.empty() || !this->limits.alwaysEchoesId));
    if (!call.onHeader || !isIdentified || this->echoesOtherId(header, requestId)) {
        return;
    }
    HeaderList notices;
    for (const std::string &name : this->limits.noticeFields) {
        const auto [first, last] = header.equal_range(name);
        for (auto field = first; field != last; ++field) {
            notices.add(name, std::string_view(field->value().data(), field->value().size()));
        }
    }
    call.onHeader(header.result_int(), notices);
}

bool UpstreamPool::echoesOtherId(const ResponseReader::Message &header, std::string_view requestId) const
{
    if (header.count(this->limits.requestIdField) != 1) {
        return false;
    }
    const auto echo = header[this->limits.requestIdField];
    return std::string_view(echo.data(), echo.size()) != requestId;
}

absl::Status UpstreamPool::checkResponse(const ResponseReader &reader, const PeerRequest &request, std::string_view requestId) const
{
    const ResponseReader::Message &response = reader.message();
    if (this->echoesOtherId(response, requestId)) {
        return makeError(ErrorKind::UpstreamAnswerInvalid, "the response echoes the id of another request");
    }
    const std::size_t echoCount = response.count(this->limits.requestIdField);
    if (echoCount > 1) {
        return makeError(ErrorKind::UpstreamAnswerInvalid, "the response echoes more than one id");
    }
    if (this->limits.codesOnlyOnRequest && !acceptsContentCodings(request, response)) {
        return makeError(ErrorKind::UpstreamAnswerInvalid, "the response has a content coding that the request does not accept");
    }
    if (this->limits.alwaysEchoesId) {
        const bool isIdentified = echoCount == 1 || requestId.empty();
        return isIdentified ? absl::OkStatus() : makeError(ErrorKind::UpstreamAnswerInvalid, "the response echoes no id");
    }
    // Without a length the body ends with the connection, so a truncated body cannot be told from a complete one.
    if (reader.endsWithConnection()) {
        return makeError(ErrorKind::UpstreamAnswerInvalid, "the response has neither a length nor chunked coding");
    }
    if (reader.bytesAfter() != 0) {
        return makeError(ErrorKind::UpstreamAnswerInvalid, "unexpected bytes follow the response");
    }
    return absl::OkStatus();
}

asio::awaitable<absl::StatusOr<std::unique_ptr<UpstreamPool::Connection>>> UpstreamPool::acquireConnection(std::string_view requestId,
                                                                                                           TimePoint deadline)
{
    if (auto connection = this->popIdle(requestId)) {
        co_return connection;
    }
    auto connection = std::make_unique<Connection>(Connection{beast::tcp_stream(this->executor), TimePoint(), this->limits.idleTimeout});
    const Duration limit = std::min(this->limits.connectTimeout, deadline - NodeClock::now());
    connection->stream.expires_after(std::max(limit, Duration(1)));
    const auto [error] = co_await connection->stream.async_connect(this->address, awaitTuple);
    if (error) {
        co_return makeError(ErrorKind::UpstreamConnectFailed, "cannot connect to the upstream: " + error.message());
    }
    boost::system::error_code ignored;
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return connection;
}

std::unique_ptr<UpstreamPool::Connection> UpstreamPool::popIdle(std::string_view requestId)
{
    const std::size_t id = hashOf(requestId);
    for (std::size_t i = this->idle.size(); i-- > 0;) {
        const std::vector<std::size_t> &failed = this->idle[i]->failedRequests;
        if (std::ranges::find(failed, id) != failed.end()) {
            continue;
        }
        std::unique_ptr<Connection> connection = std::move(this->idle[i]);
        this->idle.erase(this->idle.begin() + static_cast<std::ptrdiff_t>(i));
        if (isOpenAndEmpty(connection->stream.socket()) && NodeClock::now() - connection->idleSince < connection->idleLimit) {
            return connection;
        }
    }
    return nullptr;
}

void UpstreamPool::pushIdle(std::unique_ptr<Connection> connection)
{
    connection->stream.expires_never();
    connection->idleSince = NodeClock::now();
    if (this->idle.size() < this->limits.idleConnections) {
        this->idle.push_back(std::move(connection));
    }
}

} // namespace Galenarack
