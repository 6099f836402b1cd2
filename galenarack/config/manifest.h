#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// One section in a manifest.
struct ManifestEntry
{
    std::string name;
    std::string digest; ///< SHA-256 of the latest value, 64 hexadecimal digits; empty when the revision removes the section.
    std::string previous; ///< SHA-256 of the value that it replaces; empty when the section is new.

    bool operator==(const ManifestEntry &) const = default;
};

/// Which section values make up one revision of the document (value of the key "manifest").
struct Manifest
{
    std::string fleet;
    std::uint64_t revision = 0;
    std::vector<ManifestEntry> sections;

    bool operator==(const Manifest &) const = default;

    /// @return the manifest, or ConfigInvalid with all errors
    static absl::StatusOr<Manifest> parse(std::string_view json);

    /// @return the canonical JSON; two manifests with the same content have the same text
    std::string toJson() const;

    /// @return SHA-256 of toJson()
    std::string digest() const;

    /// @return all digests that the manifest names, sorted, each once
    std::vector<std::string> allDigests() const;
};

} // namespace Galenarack
