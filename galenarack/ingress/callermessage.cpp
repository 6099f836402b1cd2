#include <galenarack/ingress/callermessage.h>

#include <galenarack/core/text.h>
#include <galenarack/http/framing.h>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace Galenarack {

namespace beast = boost::beast;
namespace http = boost::beast::http;

ErrorKind kindOfReadError(const beast::error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return ErrorKind::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return ErrorKind::BodyTooLarge;
    }
    if (error == http::error::bad_content_length || error == http::error::multiple_content_length
        || error == http::error::bad_transfer_encoding) {
        return ErrorKind::AmbiguousLength;
    }
    return ErrorKind::InvalidRequest;
}

bool hasUnambiguousLength(const http::request<http::string_body> &message)
{
    const std::size_t lengths = message.count(http::field::content_length);
    const std::size_t codings = message.count(http::field::transfer_encoding);
    if (lengths + codings > 1 || !hasKnownTransferCoding(message)) {
        return false;
    }
    const std::string_view length = message[http::field::content_length];
    return std::ranges::all_of(length, [](char c) {
        return c >= '0' && c <= '9';
    });
}

bool isProtocolError(const beast::error_code &error)
{
    return error != http::error::end_of_stream && error != http::error::partial_message && error != beast::error::timeout
           && error.category() == beast::error_code(http::error::end_of_stream).category();
}

CallerRequest toCallerRequest(http::request<http::string_body> message)
{
    CallerRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.add(toLowerAscii(field.name_string()), field.value());
    }
    request.body = std::move(message.body());
    return request;
}

} // namespace Galenarack
