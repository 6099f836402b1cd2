#pragma once

#include <galenarack/config/acceptance.h>

#include <span>
#include <string>
#include <string_view>

namespace Galenarack {

/// What a publisher changes in one section.
struct SectionChange
{
    std::string name;
    std::string digest; ///< Of the new value; empty removes the section.
};

/// @return the digest of each section that a revision puts in force, by name; when the revision is refused, those of the revision before it
NameMap<std::string> digestsInForce(const Manifest &manifest, SectionCache &cache);

/// Makes the manifest that follows `base`. Sections that are not changed stay as they are, so a team can publish its own alone.
/// Each entry's `previous` is the value that `base` put in force, and not its latest one: a section that was held back
/// keeps falling back to content that is valid, however often its owner publishes a new attempt.
/// @param base manifest before; null for the first one
/// @param cache has all values that `base` names
Manifest nextManifest(
    std::string_view fleet, std::uint64_t revision, const Manifest *base, std::span<const SectionChange> changes, SectionCache &cache);

} // namespace Galenarack
