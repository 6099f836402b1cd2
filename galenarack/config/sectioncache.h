#pragma once

#include <galenarack/document/section.h>

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Galenarack {

/// Cache of section values and their parsed content by digest. An unchanged section is neither fetched nor parsed again.
class SectionCache
{
public:
    /// Default limit in bytes. The target document is about 4 MB, and two revisions with their previous sections may be cached at once.
    static constexpr std::size_t defaultMaxBytes = std::size_t{32} * 1024 * 1024;

    /// @param maxBytes limit of the sum of the value sizes; above it, the least recently used values that are not pinned are evicted
    explicit SectionCache(std::size_t maxBytes = defaultMaxBytes);

    /// Stores a section value.
    /// @return ConfigInvalid when it is above 1 MB or its SHA-256 differs from `digest`
    absl::Status put(std::string_view digest, std::string bytes);

    /// @return whether the value is present
    bool contains(std::string_view digest) const;

    /// @return the value, or null
    std::shared_ptr<const std::string> bytes(std::string_view digest) const;

    /// Parses the value on first use and keeps the result.
    /// @param name name in the manifest; a section that states another name gets a finding
    /// @return the parsed content, or null when the value is absent
    std::shared_ptr<const Section> section(std::string_view digest, std::string_view name);

    /// @return the digests whose values are not present, in the given order
    std::vector<std::string> missing(std::span<const std::string> digests) const;

    /// Replaces the set of digests whose values are never evicted.
    void pin(std::span<const std::string> digests);

    /// @return the sum of the value sizes in bytes
    std::size_t totalBytes() const
    {
        return this->storedBytes;
    }

    /// @return the number of values parsed so far
    std::uint64_t parseCount() const
    {
        return this->parses;
    }

private:
    struct Entry
    {
        std::shared_ptr<const std::string> bytes;
        std::shared_ptr<const Section> parsed; ///< Null until first used.
        std::string parsedName; ///< Section name that the value was parsed with.
        std::uint64_t lastUse = 0;
        bool pinned = false;
    };

    void evict();

    std::size_t maxBytes;
    std::size_t storedBytes = 0;
    std::uint64_t uses = 0;
    std::uint64_t parses = 0;
    std::unordered_map<std::string, Entry, NameHash, std::equal_to<>> entries;
};

} // namespace Galenarack
