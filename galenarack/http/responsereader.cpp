#include <galenarack/http/responsereader.h>

#include <galenarack/http/framing.h>
#include <galenarack/http/status.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

namespace Galenarack {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// Size of the part of a response that is read at once.
constexpr std::size_t readBytes = 64 * 1024;

/// Maximum number of responses to skip before the response to a request: interim ones and those to earlier requests.
/// Servers send one or two.
constexpr unsigned skippedResponseLimit = 8;

/// Time to wait, after a response that ends with the connection, for a write that goes on. A server on the same VM that has closed
/// both directions answers the rest of the request with a reset at once.
constexpr Duration resetDelay = std::chrono::milliseconds(20);

beast::error_code checkHeader(const ResponseReader::Message &message)
{
    if (!isAcceptableStatus(message.result_int())) {
        return http::error::bad_status;
    }
    if (!hasKnownTransferCoding(message)) {
        return http::error::bad_transfer_encoding;
    }
    return {};
}

} // namespace

ResponseReader::ResponseReader(beast::tcp_stream &stream, const ResponseLimits &limits, bool isHead, std::shared_ptr<RequestWrite> write)
    : stream(stream)
    , limits(limits)
    , isHead(isHead)
    , write(std::move(write))
    , buffer(limits.headerBytes + readBytes)
{
    this->startParser();
}

void ResponseReader::startParser()
{
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(this->limits.headerBytes));
    this->parser->body_limit(this->limits.bodyBytes);
    this->parser->skip(this->isHead);
    this->isHeaderValid = false;
    this->isComplete = false;
}

asio::awaitable<beast::error_code> ResponseReader::readSome()
{
    const auto [error, length] = co_await http::async_read_some(this->stream, this->buffer, *this->parser, awaitTuple);
    if (!this->isHeaderValid && this->parser->is_header_done()) {
        if (const beast::error_code invalid = checkHeader(this->message())) {
            co_return invalid;
        }
        this->isHeaderValid = !isInterimStatus(this->message().result_int());
    }
    if (error || !this->parser->is_done()) {
        co_return error;
    }
    co_return co_await this->finish();
}

asio::awaitable<beast::error_code> ResponseReader::finish()
{
    if (isInterimStatus(this->message().result_int())) {
        co_return this->skip();
    }
    if (this->parser->need_eof() && this->write) {
        // The error of a reset goes to the first operation on the socket that meets it. If that is the write, the read finds an end as
        // after a regular close.
        const beast::error_code writeError = co_await this->write->waitForError(resetDelay);
        if (writeError) {
            co_return asio::error::connection_reset;
        }
    }
    this->isComplete = true;
    co_return beast::error_code();
}

beast::error_code ResponseReader::skip()
{
    if (++this->skipped > skippedResponseLimit) {
        return http::error::bad_status;
    }
    this->startParser();
    return {};
}

bool ResponseReader::isConnectionReusable() const
{
    return this->parser->keep_alive() && !this->parser->need_eof() && this->buffer.size() == 0
           && (!this->write || this->write->isComplete());
}

} // namespace Galenarack
