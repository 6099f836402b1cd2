#pragma once

#include <functional>
#include <utility>

namespace Galenarack {

/// Cancellation of the work of one coroutine, requested by another coroutine on the same thread.
class Cancellation
{
public:
    /// Requests cancellation and runs the present action. Only the first call has an effect.
    void request()
    {
        if (this->requested) {
            return;
        }
        this->requested = true;
        const auto action = std::exchange(this->action, nullptr);
        if (action) {
            action();
        }
    }

    /// @return whether cancellation was requested
    bool isRequested() const
    {
        return this->requested;
    }

    /// Sets the action that interrupts the step in progress, in place of the action of the previous step. An empty
    /// function means that the step in progress cannot be interrupted.
    void setAction(std::function<void()> action)
    {
        this->action = std::move(action);
    }

private:
    bool requested = false;
    std::function<void()> action;
};

} // namespace Galenarack
