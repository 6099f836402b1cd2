#pragma once

#include <galenarack/core/ids.h>
#include <galenarack/execution/idempotencykey.h>

#include <cstdint>
#include <utility>

namespace Galenarack {

/// Identifies non-repeatable work within one incarnation of a home. It holds a request id or, for work with an
/// idempotency key, the part of the key that differs between keys of the same home and incarnation.
struct WorkId
{
    std::uint64_t high = 0; ///< Ingress incarnation of the request id, or issue time of the key in ms.
    std::uint64_t low = 0; ///< Sequence number of the request id, or random part of the key.
    bool keyed = false; ///< Whether this identifies an idempotency key.

    bool operator==(const WorkId &) const = default;

    static WorkId of(const RequestId &id)
    {
        return {id.ingress.value, id.sequence, false};
    }

    static WorkId of(const IdempotencyKey &key)
    {
        return {static_cast<std::uint64_t>(toMilliseconds(key.issued)), key.random, true};
    }

    /// Uses absl's seeded hash, because callers choose the keys and could otherwise provoke collisions.
    template<typename State>
    friend State AbslHashValue(State state, const WorkId &work) // NOLINT(readability-identifier-naming): required by absl
    {
        return State::combine(std::move(state), work.high, work.low, work.keyed);
    }
};

} // namespace Galenarack
