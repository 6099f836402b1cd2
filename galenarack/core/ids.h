#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Galenarack {

/// Identifies one run of a node's process: 64 random bits generated at process start. Zero is invalid.
struct Incarnation
{
    std::uint64_t value = 0;

    auto operator<=>(const Incarnation &) const = default;

    /// @return 16 hexadecimal digits
    std::string toString() const;

    /// @return std::nullopt unless `text` is 16 hexadecimal digits and not zero
    static std::optional<Incarnation> fromString(std::string_view text);
};

/// Identifies one request in the fleet: the incarnation of the ingress that received it, and a counter of that ingress.
struct RequestId
{
    Incarnation ingress;
    std::uint64_t sequence = 0;

    auto operator<=>(const RequestId &) const = default;

    /// @return 32 hexadecimal digits
    std::string toString() const;

    /// @return std::nullopt unless `text` is 32 hexadecimal digits with a valid incarnation
    static std::optional<RequestId> fromString(std::string_view text);
};

/// @return 16 lower-case hexadecimal digits
std::string toHex(std::uint64_t value);

/// @return std::nullopt unless `text` is 1 to 16 hexadecimal digits
std::optional<std::uint64_t> fromHex(std::string_view text);

} // namespace Galenarack

template<>
struct std::hash<Galenarack::RequestId>
{
    std::size_t operator()(const Galenarack::RequestId &id) const noexcept
    {
        // The incarnation is already random; the multiplier (2^64 / golden ratio) distributes the counter over all bits.
        return static_cast<std::size_t>(id.ingress.value ^ (id.sequence * 0x9e3779b97f4a7c15U));
    }
};
