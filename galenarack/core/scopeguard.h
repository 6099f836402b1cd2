#pragma once

#include <utility>

namespace Galenarack {

/// Runs a function at the end of the scope, unless the guard was released.
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

    /// Releases the guard: the function does not run at the end of the scope.
    void release() noexcept
    {
        this->armed = false;
    }

private:
    Function function;
    bool armed = true;
};

} // namespace Galenarack
