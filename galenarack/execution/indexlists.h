#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Galenarack {

/// A fixed number of doubly linked lists over the indices of a table. An index is on at most one list.
/// Appending and removing take constant time and allocate only when the table grows.
class IndexLists
{
public:
    explicit IndexLists(std::uint32_t listCount);

    /// Room for the indices below `count`.
    void grow(std::uint32_t count);

    /// Precondition: `index` is on no list.
    void append(std::uint32_t list, std::uint32_t index);

    /// Does nothing when `index` is on no list.
    void remove(std::uint32_t index);

    /// @return the index that was appended first, or nothing
    std::optional<std::uint32_t> front(std::uint32_t list) const;

    std::size_t byteCount() const;

private:
    struct Link
    {
        std::uint32_t previous;
        std::uint32_t next;
    };

    std::uint32_t listCount;
    std::vector<Link> links; ///< One ring a list: first the heads, then the indices; alone, each points to itself.
};

} // namespace Galenarack
