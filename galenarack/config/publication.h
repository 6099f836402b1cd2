#pragma once

#include <galenarack/config/acceptance.h>

#include <span>
#include <string>
#include <string_view>

namespace Galenarack {

/// Change that a publisher makes to one section.
struct SectionChange
{
    std::string name;
    std::string digest; ///< SHA-256 of the new value; empty removes the section.
};

/// @return the digest of each section that a revision puts in force, by section name; when the revision is refused, the digests of the
///     revision before it
NameMap<std::string> digestsInForce(const Manifest &manifest, SectionCache &cache);

/// Creates the manifest that follows `base`. Sections without a change are kept, so a team can publish its own section alone.
/// The `previous` of each entry is the value that `base` put in force and not the latest value in `base`. A section that was held back
/// therefore keeps falling back to valid content, however often its owner publishes an invalid value.
/// @param base preceding manifest; null for the first revision
/// @param cache contains all values that `base` names
Manifest nextManifest(
    std::string_view fleet, std::uint64_t revision, const Manifest *base, std::span<const SectionChange> changes, SectionCache &cache);

} // namespace Galenarack
