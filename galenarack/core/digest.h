#pragma once

#include <string>
#include <string_view>

namespace Galenarack {

/// @return SHA-256 digest of `data` as 64 lower-case hexadecimal digits
std::string sha256Hex(std::string_view data);

} // namespace Galenarack
