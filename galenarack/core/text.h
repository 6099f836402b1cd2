#pragma once

#include <string>
#include <string_view>

namespace Galenarack {

/// @return a copy with the ASCII letters in lower case, whatever the locale; header field names compare this way
std::string toLowerAscii(std::string_view text);

} // namespace Galenarack
