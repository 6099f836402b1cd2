#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <string_view>

namespace Galenarack::StandIns {

/// Largest value of the configuration service, in bytes.
constexpr std::size_t maxValueBytes = std::size_t(1) << 20;

/// One value with its entity tag.
struct StoredValue
{
    std::string body;
    std::string tag; ///< SHA-256 of the body in hexadecimal digits, without quotes.
};

/// Values by key, with a served copy that can be held while new values are put.
class ValueStore
{
public:
    /// @return false when the value exceeds maxValueBytes
    bool put(const std::string &key, std::string body);

    void remove(const std::string &key);

    /// Puts every file below `folder`; its key is the path relative to the folder.
    /// @throws std::runtime_error when a file exceeds maxValueBytes
    void load(const std::filesystem::path &folder);

    /// While held, find() returns the values as of the call of hold(true).
    void hold(bool held);

    /// @return the served value, or null
    const StoredValue *find(std::string_view key) const;

private:
    using Values = std::map<std::string, StoredValue, std::less<>>;

    Values latest;
    Values heldValues;
    bool held = false;
};

} // namespace Galenarack::StandIns
