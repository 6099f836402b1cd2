#pragma once

#include <utility>

namespace Galenarack {

/// Runs a function when the scope ends, unless it was released.
template<typename Function>
class [[nodiscard]] ScopeGuard
{
public:
    explicit ScopeGuard(Function function)
        : function(std::move(function))
    {
    }
    ~ScopeGuard()
    {
        if (this->armed) {
            this->function();
        }
    }
    ScopeGuard(const ScopeGuard &) = delete;
    ScopeGuard &operator=(const ScopeGuard &) = delete;

    /// The function will not run.
    void release() noexcept
    {
        this->armed = false;
    }

private:
    Function function;
    bool armed = true;
};

} // namespace Galenarack
