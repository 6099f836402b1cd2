#include <galenarack/core/text.h>

#include <algorithm>

namespace Galenarack {

std::string toLowerAscii(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return lower;
}

} // namespace Galenarack
