#pragma once

#include <galenarack/config/manifest.h>
#include <galenarack/config/sectioncache.h>
#include <galenarack/document/document.h>
#include <galenarack/document/finding.h>

#include <memory>
#include <string>
#include <vector>

namespace Galenarack {

/// What a node does with a manifest whose sections it has.
struct Acceptance
{
    std::shared_ptr<const Document> document; ///< Null when the whole revision is refused.
    std::vector<Finding> findings; ///< All errors of the latest sections.
    std::vector<Finding> remaining; ///< Errors left after the fall-back; empty when accepted.
    std::vector<std::string> heldBack; ///< Sections whose previous content is in force instead of the latest, sorted.
};

/// Decides about a manifest. Depends on the manifest and the values that it names alone, so every node decides the same;
/// for that reason it needs all of them, including previous ones that turn out not to be used.
///
/// All latest sections are checked together. When there are errors, each section named in an error falls back to its previous
/// content (or is left out when it is new), and the whole is checked again. When that has errors too, the revision is refused.
/// @param cache has all of manifest.allDigests(); its parsed sections are used and filled in
Acceptance acceptRevision(const Manifest &manifest, SectionCache &cache);

} // namespace Galenarack
