#pragma once

#include <compare>
#include <cstdint>

namespace Galenarack {

/// A point in the history of the registry.
///
/// The registry may come back from a copy that is some seconds old. It then gives out the lost revisions again, for other changes, and
/// its era rises by one. Revisions therefore order changes only within one era.
struct RegistryPosition
{
    std::uint64_t era = 0; ///< Number of the history; 0 while the registry names none.
    std::uint64_t revision = 0; ///< Revision within that history; 0 before the first read.

    bool operator==(const RegistryPosition &) const = default;
    std::strong_ordering operator<=>(const RegistryPosition &other) const
    {
        return this->era != other.era ? this->era <=> other.era : this->revision <=> other.revision;
    }
};

} // namespace Galenarack
