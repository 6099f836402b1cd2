#include <galenarack/execution/idempotencykey.h>

#include <algorithm>
#include <cassert>
#include <charconv>

namespace Galenarack {

namespace {

constexpr std::string_view prefix = "gk1.";
constexpr std::size_t maxVmName = 63; // length limit of a DNS label
constexpr std::int64_t maxIssuedMs = std::int64_t(1) << 50; // the sum with any retry horizon cannot overflow

bool isVmCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-';
}

/// Removes the text up to the next dot, and the dot, from the front of `rest` and returns the text without the dot.
std::string_view popPart(std::string_view &rest)
{
    const std::size_t dot = std::min(rest.find('.'), rest.size());
    const std::string_view part = rest.substr(0, dot);
    rest.remove_prefix(std::min(dot + 1, rest.size()));
    return part;
}

std::optional<std::int64_t> parseMilliseconds(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0 || value > maxIssuedMs) {
        return std::nullopt;
    }
    return value;
}

} // namespace

bool isKeyVmName(std::string_view vm)
{
    return !vm.empty() && vm.size() <= maxVmName && std::ranges::all_of(vm, isVmCharacter);
}

std::string IdempotencyKey::toString() const
{
    std::string text(prefix);
    text += this->vm;
    text += '.';
    text += this->home.toString();
    text += '.';
    text += std::to_string(toMilliseconds(this->issued));
    text += '.';
    text += toHex(this->random);
    return text;
}

std::optional<IdempotencyKey> IdempotencyKey::parse(std::string_view text)
{
    if (!text.starts_with(prefix)) {
        return std::nullopt;
    }
    std::string_view rest = text.substr(prefix.size());
    const std::string_view vm = popPart(rest);
    const auto home = Incarnation::fromString(popPart(rest));
    const auto issued = parseMilliseconds(popPart(rest));
    const auto random = fromHex(rest);
    if (!isKeyVmName(vm) || !home || !issued || !random) {
        return std::nullopt;
    }
    IdempotencyKey key{std::string(vm), *home, fromMilliseconds(*issued), *random};
    if (key.toString() != text) {
        return std::nullopt;
    }
    return key;
}

KeyGenerator::KeyGenerator(std::uint64_t seed)
    : random(seed)
{
}

IdempotencyKey KeyGenerator::generate(std::string_view vm, Incarnation home, TimePoint homeClock)
{
    assert(isKeyVmName(vm));
    assert(home.value != 0);
    return {std::string(vm), home, fromMilliseconds(toMilliseconds(homeClock)), this->random()};
}

} // namespace Galenarack
