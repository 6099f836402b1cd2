#pragma once

#include <cstddef>
#include <functional>
#include <vector>

namespace Galenarack {

class ByteReservation;

/// Limit on the bytes that several messages in transit may hold together.
///
/// When a message would exceed the limit, the largest one is dropped. An endless body is therefore dropped in favour of the
/// others, whichever of them receives the byte that exceeds the limit.
class ByteBudget
{
public:
    /// @param limit limit in bytes
    explicit ByteBudget(std::size_t limit);
    ByteBudget(const ByteBudget &) = delete;
    ByteBudget &operator=(const ByteBudget &) = delete;

    /// @return bytes that the messages hold at present
    std::size_t used() const
    {
        return this->usedBytes;
    }

private:
    friend class ByteReservation;

    /// Drops the largest reservations until the limit is kept.
    void enforce();

    std::size_t limit;
    std::size_t usedBytes = 0;
    std::vector<ByteReservation *> reservations;
};

/// Bytes of a ByteBudget that one message holds. Releases them at its end.
class ByteReservation
{
public:
    /// @param budget must outlive the reservation
    /// @param onDropped called once when the message has to be dropped; its bytes are no longer counted from then on. May be empty when
    ///                  all messages of the budget use tryResize() only.
    ByteReservation(ByteBudget &budget, std::function<void()> onDropped);
    ~ByteReservation();
    ByteReservation(const ByteReservation &) = delete;
    ByteReservation &operator=(const ByteReservation &) = delete;

    /// Sets the bytes that the message holds. Ignored once the message has been dropped.
    void resize(std::size_t bytes);

    /// Sets the bytes that the message holds, if the limit is kept. Drops no message.
    /// @return false when there is no room; the message then holds what it held before
    [[nodiscard]] bool tryResize(std::size_t bytes);

    /// @return whether the message has to be dropped
    bool isDropped() const
    {
        return this->dropped;
    }

private:
    friend class ByteBudget;

    ByteBudget &budget;
    std::function<void()> onDropped;
    std::size_t bytes = 0;
    bool dropped = false;
};

} // namespace Galenarack
