#include <galenarack/config/acceptance.h>

#include <galenarack/core/digest.h>
#include <galenarack/document/documentchecker.h>

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace Galenarack {

namespace {

std::vector<SectionVersions> loadSections(const Manifest &manifest, SectionCache &cache)
{
    std::vector<SectionVersions> sections;
    for (const ManifestEntry &entry : manifest.sections) {
        SectionVersions versions;
        versions.name = entry.name;
        if (!entry.digest.empty()) {
            versions.latest = cache.section(entry.digest, entry.name);
            assert(versions.latest != nullptr);
        }
        if (!entry.previous.empty()) {
            versions.previous = cache.section(entry.previous, entry.name);
            assert(versions.previous != nullptr);
        }
        sections.push_back(std::move(versions));
    }
    return sections;
}

/// Replaces the latest content of the sections that have errors with their previous content.
/// @return the names of the replaced sections, sorted
std::vector<std::string> fallBack(std::vector<SectionVersions> &sections, const std::vector<Finding> &findings)
{
    std::set<std::string> names;
    for (const Finding &finding : findings) {
        names.insert(finding.section);
    }
    std::vector<std::string> heldBack;
    for (SectionVersions &versions : sections) {
        if (names.contains(versions.name) && !versions.isUnchanged()) {
            versions.latest = versions.previous;
            heldBack.push_back(versions.name);
        }
    }
    std::ranges::sort(heldBack);
    return heldBack;
}

std::shared_ptr<const Document> buildDocument(const Manifest &manifest,
                                              const std::vector<SectionVersions> &sections,
                                              const std::vector<std::string> &heldBack)
{
    auto document = std::make_shared<Document>(DocumentChecker(sections).build());
    document->fleet = manifest.fleet;
    document->revision = manifest.revision;
    std::string inForce = manifest.digest();
    for (SectionInfo &info : document->sections) {
        info.heldBack = std::ranges::binary_search(heldBack, info.name);
        inForce += "\n" + info.name + " " + info.digest;
    }
    document->digest = sha256Hex(inForce);
    return document;
}

} // namespace

Acceptance acceptRevision(const Manifest &manifest, SectionCache &cache)
{
    Acceptance acceptance;
    std::vector<SectionVersions> sections = loadSections(manifest, cache);
    acceptance.findings = DocumentChecker(sections).check();
    if (!acceptance.findings.empty()) {
        acceptance.heldBack = fallBack(sections, acceptance.findings);
        acceptance.remaining = DocumentChecker(sections).check();
    }
    if (acceptance.remaining.empty()) {
        acceptance.document = buildDocument(manifest, sections, acceptance.heldBack);
    } else {
        acceptance.heldBack.clear();
    }
    return acceptance;
}

} // namespace Galenarack
