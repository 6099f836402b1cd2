#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Galenarack {

/// A fixed number of doubly linked lists over the indices of a table. An index is on at most one list.
/// Appending and removing take constant time; only grow() allocates.
class IndexLists
{
public:
    explicit IndexLists(std::uint32_t listCount);

    /// Extends the lists to the indices below `count`.
    void grow(std::uint32_t count);

    /// Appends `index` to a list. Precondition: `index` is on no list.
    void append(std::uint32_t list, std::uint32_t index);

    /// Removes `index` from its list. Does nothing when `index` is on no list.
    void remove(std::uint32_t index);

    /// @return the index that was appended to the list first, or nothing when the list is empty
    std::optional<std::uint32_t> front(std::uint32_t list) const;

    /// @return memory held, in bytes
    std::size_t byteCount() const;

private:
    struct Link
    {
        std::uint32_t previous;
        std::uint32_t next;
    };

    std::uint32_t listCount;
    std::vector<Link> links; ///< List heads, then indices. Each list is a ring; an unlinked element points to itself.
};

} // namespace Galenarack
