#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Galenarack {

/// One run of a node's process: 64 random bits made at its start. Zero is no incarnation.
struct Incarnation
{
    std::uint64_t value = 0;

    auto operator<=>(const Incarnation &) const = default;

    /// @return 16 hexadecimal digits
    std::string toString() const;

    /// @return nothing unless `text` is 16 hexadecimal digits and not zero
    static std::optional<Incarnation> fromString(std::string_view text);
};

/// Identifies one request in the fleet: the incarnation of the ingress that took it, and a counter.
struct RequestId
{
    Incarnation ingress;
    std::uint64_t sequence = 0;

    auto operator<=>(const RequestId &) const = default;

    /// @return 32 hexadecimal digits
    std::string toString() const;

    /// @return nothing unless `text` is 32 hexadecimal digits with a valid incarnation
    static std::optional<RequestId> fromString(std::string_view text);
};

/// @return 16 lower-case hexadecimal digits
std::string toHex(std::uint64_t value);

/// @return nothing unless `text` is 1 to 16 hexadecimal digits
std::optional<std::uint64_t> fromHex(std::string_view text);

} // namespace Galenarack

template<>
struct std::hash<Galenarack::RequestId>
{
    std::size_t operator()(const Galenarack::RequestId &id) const noexcept
    {
        // The incarnation is random already; the multiplier (2^64 / golden ratio) spreads the counter.
        return static_cast<std::size_t>(id.ingress.value ^ (id.sequence * 0x9e3779b97f4a7c15U));
    }
};
