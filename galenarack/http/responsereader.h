#pragma once

#include <galenarack/http/requestwrite.h>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <memory>
#include <optional>

namespace Galenarack {

/// Limits of a response that is read.
struct ResponseLimits
{
    std::size_t headerBytes = 16 * 1024; ///< Maximum size of the header section, in bytes.
    std::size_t bodyBytes = 1024 * 1024; ///< Maximum size of the body, in bytes.
};

/// Reads the response to one request from an HTTP/1.1 connection, part by part.
///
/// All readers of HTTP/1.1 responses use this class, which decides what is a response: one with a valid status, with a body in no
/// transfer coding other than chunks, and that is whole. A body without a length is whole when the server has closed the connection
/// without a reset (RFC 9112 section 8). Interim responses are skipped.
class ResponseReader
{
public:
    using Message = boost::beast::http::response<boost::beast::http::string_body>;

    /// @param stream connection; its time limits apply. Must outlive the reader.
    /// @param isHead whether the response has no body because the method of the request is HEAD
    /// @param write write of the request, if it may still go on; null once the request was written
    ResponseReader(boost::beast::tcp_stream &stream,
                   const ResponseLimits &limits,
                   bool isHead,
                   std::shared_ptr<RequestWrite> write = nullptr);

    /// Reads the next part. Must not be called once isDone().
    /// @return the error of the connection or of the parser; bad_status for an invalid status and for too many interim responses;
    ///     bad_transfer_encoding for a coding other than chunked; connection_reset for a body that ends with a reset
    boost::asio::awaitable<boost::beast::error_code> readSome();

    /// Skips the response that was read, because it belongs to another request.
    /// @return bad_status when too many responses were skipped
    boost::beast::error_code skip();

    /// @return whether the header section of the final response was read and is valid
    bool isHeaderDone() const
    {
        return this->isHeaderValid;
    }

    /// @return whether the whole response was read
    bool isDone() const
    {
        return this->isComplete;
    }

    /// @return the response, as far as it was read
    const Message &message() const
    {
        return this->parser->get();
    }

    /// @return the response; the reader must not be used further
    Message release()
    {
        return this->parser->release();
    }

    /// @return whether a byte of the response was received
    bool hasBegun() const
    {
        return this->parser->got_some();
    }

    /// @return whether the response has neither a length nor chunks, so that it ends with the connection
    bool endsWithConnection() const
    {
        return this->parser->need_eof();
    }

    /// @return number of bytes that were received after the response
    std::size_t bytesAfter() const
    {
        return this->buffer.size();
    }

    /// @return number of bytes that the reader holds
    std::size_t heldBytes() const
    {
        return this->parser->get().body().capacity() + this->buffer.capacity();
    }

    /// @return whether the connection can carry another request after the response
    bool isConnectionReusable() const;

private:
    void startParser();

    /// Checks a message that was read whole, and skips interim responses.
    boost::asio::awaitable<boost::beast::error_code> finish();

    boost::beast::tcp_stream &stream;
    ResponseLimits limits;
    bool isHead;
    std::shared_ptr<RequestWrite> write;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser;
    unsigned skipped = 0; ///< Number of responses that were skipped.
    bool isHeaderValid = false;
    bool isComplete = false;
};

} // namespace Galenarack
