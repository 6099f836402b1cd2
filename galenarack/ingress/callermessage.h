#pragma once

#include <galenarack/core/errorkind.h>
#include <galenarack/ingress/requestforwarder.h>

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Galenarack {

/// @return the kind that tells a caller why its request could not be read
ErrorKind kindOfReadError(const boost::beast::error_code &error);

/// Beast takes some requests whose end another server could see elsewhere: repeated lengths, and codings other than chunked,
/// which would be read as no body (RFC 9112 sections 6.1 and 6.3).
/// @return whether the request states the length of its body in exactly one way, or in none
bool hasUnambiguousLength(const boost::beast::http::request<boost::beast::http::string_body> &message);

/// @return whether the caller can still read a response after this error
bool isProtocolError(const boost::beast::error_code &error);

/// @return the request with its field names in lower case
CallerRequest toCallerRequest(boost::beast::http::request<boost::beast::http::string_body> message);

} // namespace Galenarack
