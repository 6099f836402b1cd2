#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <string_view>

namespace Galenarack::StandIns {

/// Maximum size of a value of the configuration service, in bytes.
constexpr std::size_t maxValueBytes = std::size_t(1) << 20;

/// Value with its entity tag.
struct StoredValue
{
    std::string body;
    std::string tag; ///< SHA-256 of the body in hexadecimal digits, without quotes.
};

/// Values of the configuration service by key.
class ValueStore
{
public:
    /// Adds or replaces a value.
    /// @return false if the value exceeds maxValueBytes
    bool put(const std::string &key, std::string body);

    void remove(const std::string &key);

    /// Adds every file below `folder`, with its path relative to `folder` as the key.
    /// @throws std::runtime_error if a file exceeds maxValueBytes
    void load(const std::filesystem::path &folder);

    /// @return the value, or null if there is none
    const StoredValue *find(std::string_view key) const;

private:
    std::map<std::string, StoredValue, std::less<>> values;
};

} // namespace Galenarack::StandIns
