#include <galenarack/core/ids.h>

#include <array>
#include <charconv>

namespace Galenarack {

namespace {
constexpr std::size_t hexDigits = 16;
}

std::string toHex(std::uint64_t value)
{
    std::array<char, hexDigits> digits{};
    const auto [end, error] = std::to_chars(digits.begin(), digits.end(), value, 16);
    const auto length = static_cast<std::size_t>(end - digits.begin());
    std::string text(hexDigits - length, '0');
    text.append(digits.data(), length);
    return text;
}

std::optional<std::uint64_t> fromHex(std::string_view text)
{
    if (text.empty() || text.size() > hexDigits) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string Incarnation::toString() const
{
    return toHex(this->value);
}

std::optional<Incarnation> Incarnation::fromString(std::string_view text)
{
    const auto value = text.size() == hexDigits ? fromHex(text) : std::nullopt;
    if (!value || *value == 0) {
        return std::nullopt;
    }
    return Incarnation{*value};
}

std::string RequestId::toString() const
{
    return this->ingress.toString() + toHex(this->sequence);
}

std::optional<RequestId> RequestId::fromString(std::string_view text)
{
    if (text.size() != 2 * hexDigits) {
        return std::nullopt;
    }
    const auto ingress = Incarnation::fromString(text.substr(0, hexDigits));
    const auto sequence = fromHex(text.substr(hexDigits));
    if (!ingress || !sequence) {
        return std::nullopt;
    }
    return RequestId{*ingress, *sequence};
}

} // namespace Galenarack
