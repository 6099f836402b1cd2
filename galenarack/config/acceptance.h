#pragma once

#include <galenarack/config/manifest.h>
#include <galenarack/config/sectioncache.h>
#include <galenarack/document/document.h>
#include <galenarack/document/finding.h>

#include <memory>
#include <string>
#include <vector>

namespace Galenarack {

/// Outcome of checking a manifest whose section values are all present.
struct Acceptance
{
    std::shared_ptr<const Document> document; ///< Document to put in force; null when the whole revision is refused.
    std::vector<Finding> findings; ///< All errors of the latest section contents.
    std::vector<Finding> remaining; ///< Errors left after the fall-back; empty when the revision is accepted.
    std::vector<std::string> heldBack; ///< Names of the sections whose previous content is in force instead of the latest, sorted.
};

/// Accepts or refuses the revision that a manifest describes. The result depends only on the manifest and the section values that
/// it names, so every node reaches the same one. All of these values must be present, including previous ones that are not used.
///
/// All latest sections are checked together. When there are errors, each section named in an error falls back to its previous
/// content (or is left out when it is new), and the result is checked again. When that has errors too, the revision is refused.
/// @param cache contains all of manifest.allDigests(); sections that are not parsed yet are parsed and kept in it
Acceptance acceptRevision(const Manifest &manifest, SectionCache &cache);

} // namespace Galenarack
