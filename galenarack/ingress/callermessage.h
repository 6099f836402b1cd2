#pragma once

#include <galenarack/core/errorkind.h>
#include <galenarack/ingress/requestforwarder.h>

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Galenarack {

/// @return the error kind for a request that could not be read
ErrorKind kindOfReadError(const boost::beast::error_code &error);

/// Guards against request smuggling (RFC 9112 sections 6.1 and 6.3): Beast accepts repeated lengths, and reads a request with
/// a coding other than chunked as one without a body, so another server could place the end of the request elsewhere.
/// @return whether the request states the length of its body in exactly one valid way, or not at all
bool hasUnambiguousLength(const boost::beast::http::request<boost::beast::http::string_body> &message);

/// @return whether the error is a malformed or oversized message, after which the caller can still read a response
bool isProtocolError(const boost::beast::error_code &error);

/// @return the request with its field names in lower case
CallerRequest toCallerRequest(boost::beast::http::request<boost::beast::http::string_body> message);

} // namespace Galenarack
