#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/message.hpp>

namespace Galenarack {

/// @return whether the body is in no transfer coding, or in chunks alone, which only HTTP/1.1 has (RFC 9112 section 6.1). This program
///         asks for no other coding and can't remove one.
template<bool isRequest, typename Fields>
bool hasKnownTransferCoding(const boost::beast::http::header<isRequest, Fields> &header)
{
    const auto name = boost::beast::http::field::transfer_encoding;
    const std::size_t codings = header.count(name);
    return codings == 0 || (codings == 1 && header.version() == 11 && boost::beast::iequals(header[name], "chunked"));
}

} // namespace Galenarack
