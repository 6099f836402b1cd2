#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Galenarack {

/// Transparent string hash: a lookup by view does not allocate.
struct NameHash
{
    using is_transparent = void; // NOLINT(readability-identifier-naming): required by the standard

    std::size_t operator()(std::string_view name) const noexcept
    {
        return std::hash<std::string_view>()(name);
    }
};

/// Map from a name to a value, with lookup by string view.
template<typename Value>
using NameMap = std::unordered_map<std::string, Value, NameHash, std::equal_to<>>;

/// Map from a name to the index of its row.
using NameIndex = NameMap<std::uint32_t>;

/// @return the index of the row called `name`, or nothing
inline std::optional<std::uint32_t> findIndex(const NameIndex &index, std::string_view name)
{
    const auto entry = index.find(name);
    return entry == index.end() ? std::nullopt : std::optional(entry->second);
}

} // namespace Galenarack
