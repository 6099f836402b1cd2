#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/core/ids.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace Galenarack {

/// A key with which a caller may send the same non-repeatable request again. It contains the VM and the incarnation
/// of the only home that may execute the request, so routing it needs no lookup and no revision reassigns it.
/// Text form: `gk1.<vm>.<incarnation>.<issue time in home clock, ms>.<random>`.
struct IdempotencyKey
{
    std::string vm; ///< VM of the home; 1 to 63 letters, digits or '-'.
    Incarnation home; ///< Incarnation of the home that the key is bound to.
    TimePoint issued; ///< Issue time in the home's clock, in whole milliseconds.
    std::uint64_t random = 0; ///< Random part, which makes keys of the same millisecond distinct.

    bool operator==(const IdempotencyKey &) const = default;

    /// @return the text form of the key
    std::string toString() const;

    /// Parses the text form of a key. Only the exact output of toString() is accepted, so that each key has one text.
    /// @return nothing when the text is not a key in that form
    static std::optional<IdempotencyKey> parse(std::string_view text);
};

/// @return whether `vm` is valid as the VM of a key: 1 to 63 letters, digits or '-'
bool isKeyVmName(std::string_view vm);

/// Generates idempotency keys for any home without sending it a message.
class KeyGenerator
{
public:
    /// @param seed seed of the random part; has to differ between processes
    explicit KeyGenerator(std::uint64_t seed);

    /// Generates a key.
    /// @param vm VM of the home; must satisfy isKeyVmName()
    /// @param home incarnation of the home; must not be 0
    /// @param homeClock the ingress's estimate of the home's clock, which may be behind that clock but never ahead
    IdempotencyKey generate(std::string_view vm, Incarnation home, TimePoint homeClock);

private:
    std::mt19937_64 random;
};

} // namespace Galenarack
