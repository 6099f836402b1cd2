#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/core/ids.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace Galenarack {

/// A key with which a caller may send the same non-repeatable request again. It names the home and the run of
/// that home that may execute it, so it never has to be looked up and never moves with a revision.
/// Text form: `gk1.<vm>.<incarnation>.<issue time in home clock, ms>.<random>`.
struct IdempotencyKey
{
    std::string vm; ///< VM of the home; letters, digits and '-'.
    Incarnation home; ///< Run of the home that the key is bound to.
    TimePoint issued; ///< In the home's clock, whole milliseconds.
    std::uint64_t random = 0; ///< Tells keys of the same millisecond apart.

    bool operator==(const IdempotencyKey &) const = default;

    std::string toString() const;

    /// Accepts only the spelling that toString() produces, so that one key has one text.
    /// @return nothing for any other text
    static std::optional<IdempotencyKey> parse(std::string_view text);
};

/// @return whether `vm` may stand in a key: 1 to 63 letters, digits or '-'
bool isKeyVmName(std::string_view vm);

/// Issues keys for homes, without a message to the home.
class KeyGenerator
{
public:
    /// @param seed of the random part; differs between processes
    explicit KeyGenerator(std::uint64_t seed);

    /// @param vm must satisfy isKeyVmName()
    /// @param homeClock the ingress's estimate of the home's clock, which lags and never leads
    IdempotencyKey generate(std::string_view vm, Incarnation home, TimePoint homeClock);

private:
    std::mt19937_64 random;
};

} // namespace Galenarack
