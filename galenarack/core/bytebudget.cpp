#include <galenarack/core/bytebudget.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace Galenarack {

ByteBudget::ByteBudget(std::size_t limit)
    : limit(limit)
{
}

void ByteBudget::enforce()
{
    while (this->usedBytes > this->limit) {
        const auto largest = std::ranges::max_element(this->reservations, {}, &ByteReservation::bytes);
        assert(largest != this->reservations.end());
        ByteReservation &dropped = **largest;
        this->usedBytes -= std::exchange(dropped.bytes, 0);
        dropped.dropped = true;
        dropped.onDropped();
    }
}

ByteReservation::ByteReservation(ByteBudget &budget, std::function<void()> onDropped)
    : budget(budget)
    , onDropped(std::move(onDropped))
{
    this->budget.reservations.push_back(this);
}

ByteReservation::~ByteReservation()
{
    this->budget.usedBytes -= this->bytes;
    std::erase(this->budget.reservations, this);
}

void ByteReservation::resize(std::size_t size)
{
    if (this->dropped) {
        return;
    }
    this->budget.usedBytes += size;
    this->budget.usedBytes -= std::exchange(this->bytes, size);
    this->budget.enforce();
}

bool ByteReservation::tryResize(std::size_t size)
{
    const std::size_t others = this->budget.usedBytes - this->bytes;
    if (this->dropped || size > this->budget.limit || others > this->budget.limit - size) {
        return false;
    }
    this->budget.usedBytes = others + size;
    this->bytes = size;
    return true;
}

} // namespace Galenarack
