#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// Entry of one section in a manifest.
struct ManifestEntry
{
    std::string name;
    std::string digest; ///< SHA-256 of the latest value, 64 hexadecimal digits; empty when the revision removes the section.
    std::string previous; ///< SHA-256 of the value that it replaces; empty when the section is new.

    bool operator==(const ManifestEntry &) const = default;
};

/// List of the section values that make up one revision of the document (value of the key "manifest").
struct Manifest
{
    std::string fleet;
    std::uint64_t revision = 0;
    std::vector<ManifestEntry> sections;

    bool operator==(const Manifest &) const = default;

    /// Parses and validates a manifest.
    /// @return the manifest, or ConfigInvalid with all errors in one message
    static absl::StatusOr<Manifest> parse(std::string_view json);

    /// @return the canonical JSON; manifests with equal content have equal JSON
    std::string toJson() const;

    /// @return SHA-256 of toJson()
    std::string digest() const;

    /// @return all digests that the manifest names, sorted and without duplicates
    std::vector<std::string> allDigests() const;
};

} // namespace Galenarack
