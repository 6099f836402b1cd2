#pragma once

#include <string>
#include <string_view>

namespace Galenarack {

/// @return a copy with the ASCII letters in lower case, independent of the locale, e.g. to compare header field names
std::string toLowerAscii(std::string_view text);

} // namespace Galenarack
