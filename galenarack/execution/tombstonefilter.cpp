#include <galenarack/execution/tombstonefilter.h>

#include <absl/hash/hash.h>

#include <algorithm>

namespace Galenarack {

void TombstoneFilter::add(const WorkId &work, TimePoint until, TimePoint now)
{
    const std::size_t other = 1 - this->active;
    const bool isFull = this->generations[this->active].additions >= generationSize;
    if (isFull && this->generations[other].until <= now) {
        this->generations[other] = Generation();
        this->active = other;
    }
    Generation &generation = this->generations[this->active];
    generation.words.resize(bitCount / wordBits);
    generation.until = std::max(generation.until, until);
    ++generation.additions;
    // Double hashing (Kirsch, Mitzenmacher, 2006): all probes are derived from the two halves of one hash.
    const std::uint64_t hash = absl::Hash<WorkId>()(work);
    for (unsigned i = 0; i < probeCount; ++i) {
        const std::size_t bit = (hash + i * ((hash >> 32) | 1U)) % bitCount;
        generation.words[bit / wordBits] |= std::uint64_t(1) << (bit % wordBits);
    }
}

bool TombstoneFilter::mayContain(const WorkId &work, TimePoint now) const
{
    const std::uint64_t hash = absl::Hash<WorkId>()(work);
    return std::ranges::any_of(this->generations, [&](const Generation &generation) {
        if (generation.words.empty() || generation.until <= now) {
            return false;
        }
        for (unsigned i = 0; i < probeCount; ++i) {
            const std::size_t bit = (hash + i * ((hash >> 32) | 1U)) % bitCount;
            if ((generation.words[bit / wordBits] >> (bit % wordBits) & 1U) == 0) {
                return false;
            }
        }
        return true;
    });
}

std::size_t TombstoneFilter::byteCount() const
{
    std::size_t bytes = 0;
    for (const Generation &generation : this->generations) {
        bytes += generation.words.capacity() * sizeof(std::uint64_t);
    }
    return bytes;
}

} // namespace Galenarack
