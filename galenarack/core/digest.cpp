#include <galenarack/core/digest.h>

#include <openssl/sha.h>

#include <array>

namespace Galenarack {

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data());

    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 0xf]);
    }
    return text;
}

} // namespace Galenarack
