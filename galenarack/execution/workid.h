#pragma once

#include <galenarack/core/ids.h>
#include <galenarack/execution/idempotencykey.h>

#include <cstdint>
#include <utility>

namespace Galenarack {

/// Identifies non-repeatable work within one run of a home: a request id, or the part of an idempotency key that
/// differs between keys of the same home and incarnation.
struct WorkId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    bool keyed = false;

    bool operator==(const WorkId &) const = default;

    static WorkId of(const RequestId &id)
    {
        return {id.ingress.value, id.sequence, false};
    }

    static WorkId of(const IdempotencyKey &key)
    {
        return {static_cast<std::uint64_t>(toMilliseconds(key.issued)), key.random, true};
    }

    /// Hashing by absl, which is seeded: keys are chosen by callers.
    template<typename State>
    friend State AbslHashValue(State state, const WorkId &work) // NOLINT(readability-identifier-naming): required by absl
    {
        return State::combine(std::move(state), work.high, work.low, work.keyed);
    }
};

} // namespace Galenarack
