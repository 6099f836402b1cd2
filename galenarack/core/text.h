#pragma once

#include <string>
#include <string_view>

namespace Galenarack {

/// @return a copy with the ASCII letters in lower case, independent of the locale, e.g. to compare header field names
std::string toLowerAscii(std::string_view text);

/// @return the text with every byte percent-encoded that is not unreserved (RFC 3986 section 2.1)
std::string percentEncoded(std::string_view text);

/// @return the text with its percent-encoded bytes decoded; malformed escapes are copied unchanged
std::string percentDecoded(std::string_view text);

} // namespace Galenarack
