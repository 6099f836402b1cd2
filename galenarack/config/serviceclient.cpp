#include <galenarack/config/serviceclient.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/core/socketoptions.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <utility>

namespace Galenarack {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t maxHeaderBytes = 8 * 1024;

/// @param hasBegun whether the first byte of the response was received
ErrorKind kindOfFailure(const beast::error_code &error, bool hasBegun)
{
    if (hasBegun) {
        return ErrorKind::PeerUnreachable;
    }
    if (error == beast::error::timeout) {
        return ErrorKind::Timeout;
    }
    const bool isClosed
        = error == http::error::end_of_stream || error == asio::error::connection_reset || error == asio::error::broken_pipe;
    return isClosed ? ErrorKind::PeerLost : ErrorKind::PeerUnreachable;
}

absl::Status callError(ErrorKind kind, std::string_view what, const beast::error_code &error)
{
    return makeError(kind, "configuration service: " + std::string(what) + ": " + error.message());
}

std::string withoutQuotes(std::string_view etag)
{
    std::string text(etag);
    std::erase(text, '"');
    return text;
}

} // namespace

ServiceClient::ServiceClient(asio::any_io_executor executor, const ServiceSettings &settings)
    : executor(std::move(executor))
    , settings(settings)
{
}

void ServiceClient::abort()
{
    if (this->stream) {
        this->stream->cancel();
    }
}

void ServiceClient::close()
{
    this->isClosed = true;
    if (this->stream) {
        this->stream->cancel();
        beast::error_code ignored;
        this->stream->socket().close(ignored);
    }
}

asio::awaitable<absl::Status> ServiceClient::connect()
{
    beast::error_code error;
    const auto address = asio::ip::make_address(this->settings.host, error);
    if (error) {
        co_return makeError(ErrorKind::SettingInvalid, "configuration service: '" + this->settings.host + "' is not an IP address");
    }
    this->stream.emplace(this->executor);
    this->stream->expires_after(this->settings.connectTimeout);
    const asio::ip::tcp::endpoint endpoint(address, this->settings.port);
    const auto [connectError] = co_await this->stream->async_connect(endpoint, asTuple);
    if (connectError) {
        this->stream.reset();
        co_return callError(ErrorKind::PeerUnreachable, "cannot connect", connectError);
    }
    // A watch transfers no data for up to watchWait, so a dead connection can only be detected by the kernel.
    detectDeadConnection(this->stream->socket());
    co_return absl::OkStatus();
}

asio::awaitable<absl::StatusOr<ServiceReply>> ServiceClient::exchange(const std::string &target, Duration wait)
{
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, this->settings.host);
    this->stream->expires_after(wait + this->settings.replyTimeout);
    const auto [writeError, written] = co_await http::async_write(*this->stream, request, asTuple);
    if (writeError) {
        co_return callError(kindOfFailure(writeError, false), "cannot send the request", writeError);
    }
    ResponseReader reader(*this->stream, {maxHeaderBytes, this->settings.maxReplyBytes}, false);
    if (const auto readError = co_await this->readResponse(reader, wait + this->settings.replyTimeout)) {
        co_return callError(kindOfFailure(readError, reader.hasBegun()), "cannot read the response", readError);
    }
    const bool keepsConnection = reader.isConnectionReusable() && this->settings.keepsConnection;
    ResponseReader::Message message = reader.release();
    ServiceReply reply;
    reply.status = message.result_int();
    reply.etag = withoutQuotes(message[http::field::etag]);
    if (!this->settings.notedField.empty()) {
        const auto noted = message[this->settings.notedField];
        reply.noted = std::string(noted.data(), noted.size());
    }
    reply.body = std::move(message.body());
    if (!keepsConnection) {
        this->stream.reset();
    }
    co_return reply;
}

asio::awaitable<beast::error_code> ServiceClient::readResponse(ResponseReader &reader, Duration headTimeout)
{
    this->stream->expires_after(headTimeout);
    std::optional<TimePoint> end;
    while (!reader.isDone()) {
        const beast::error_code error = co_await reader.readSome();
        if (error) {
            co_return error;
        }
        const TimePoint now = NodeClock::now();
        end = end.value_or(now + this->settings.transferTimeout);
        this->stream->expires_after(std::max(std::min(this->settings.replyTimeout, *end - now), Duration(1)));
    }
    co_return beast::error_code();
}

asio::awaitable<absl::StatusOr<ServiceReply>> ServiceClient::get(std::string target, Duration wait)
{
    if (this->isClosed) {
        co_return makeError(ErrorKind::Cancelled, "configuration service: the client is closed");
    }
    ++this->calls;
    // The service may have closed an idle connection in the meantime, so a call that fails on a reused connection is sent again on a
    // new one. A call that timed out is not sent again: the service may still hold it, and a second call would only add load.
    const bool isReused = this->stream.has_value();
    const auto start = NodeClock::now();
    if (!isReused) {
        const absl::Status connected = co_await this->connect();
        if (!connected.ok()) {
            co_return connected;
        }
    }
    absl::StatusOr<ServiceReply> reply = co_await this->exchange(target, wait);
    if (!reply.ok() && isReused && this->settings.resendsOnNewConnection && !this->isClosed
        && NodeClock::now() - start < this->settings.connectTimeout) {
        ++this->calls;
        const absl::Status connected = co_await this->connect();
        if (!connected.ok()) {
            co_return connected;
        }
        reply = co_await this->exchange(target, wait);
    }
    if (!reply.ok()) {
        this->stream.reset();
    }
    co_return reply;
}

} // namespace Galenarack
