#include <galenarack/core/text.h>

#include <algorithm>
#include <charconv>

namespace Galenarack {

namespace {

bool isUnreservedByte(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == '~';
}

} // namespace

std::string toLowerAscii(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return lower;
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        if (isUnreservedByte(c)) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

std::string percentDecoded(std::string_view text)
{
    constexpr std::size_t escapeLength = 3;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned byte = 0;
        const char *const end = text.data() + std::min(i + escapeLength, text.size());
        const bool isEscape
            = text[i] == '%' && i + escapeLength <= text.size() && std::from_chars(text.data() + i + 1, end, byte, 16).ptr == end;
        decoded += isEscape ? static_cast<char>(byte) : text[i];
        i += isEscape ? escapeLength - 1 : 0;
    }
    return decoded;
}

} // namespace Galenarack
