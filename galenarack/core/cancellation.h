#pragma once

#include <functional>
#include <utility>

namespace Galenarack {

/// Lets one coroutine end the work of another in the same thread.
class Cancellation
{
public:
    /// Asks for the end of the work. Only the first call has an effect.
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

    /// @return whether the end was asked for
    bool isRequested() const
    {
        return this->requested;
    }

    /// Sets what ends the step in progress; it replaces the action of the step before. An empty one means that the
    /// present step can't be ended.
    void setAction(std::function<void()> action)
    {
        this->action = std::move(action);
    }

private:
    bool requested = false;
    std::function<void()> action;
};

} // namespace Galenarack
