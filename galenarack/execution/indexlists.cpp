#include <galenarack/execution/indexlists.h>

#include <cassert>

namespace Galenarack {

IndexLists::IndexLists(std::uint32_t listCount)
    : listCount(listCount)
{
    this->grow(0);
}

void IndexLists::grow(std::uint32_t count)
{
    while (this->links.size() < std::size_t(this->listCount) + count) {
        const auto self = static_cast<std::uint32_t>(this->links.size());
        this->links.push_back({self, self});
    }
}

void IndexLists::append(std::uint32_t list, std::uint32_t index)
{
    assert(list < this->listCount);
    const std::uint32_t node = this->listCount + index;
    assert(this->links[node].next == node);
    const std::uint32_t last = this->links[list].previous;
    this->links[node] = {last, list};
    this->links[last].next = node;
    this->links[list].previous = node;
}

void IndexLists::remove(std::uint32_t index)
{
    const std::uint32_t node = this->listCount + index;
    const Link link = this->links[node];
    this->links[link.previous].next = link.next;
    this->links[link.next].previous = link.previous;
    this->links[node] = {node, node};
}

std::optional<std::uint32_t> IndexLists::front(std::uint32_t list) const
{
    const std::uint32_t first = this->links[list].next;
    if (first == list) {
        return std::nullopt;
    }
    return first - this->listCount;
}

std::size_t IndexLists::byteCount() const
{
    return this->links.capacity() * sizeof(Link);
}

} // namespace Galenarack
