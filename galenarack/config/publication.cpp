#include <galenarack/config/publication.h>

#include <algorithm>
#include <utility>

namespace Galenarack {

NameMap<std::string> digestsInForce(const Manifest &manifest, SectionCache &cache)
{
    NameMap<std::string> digests;
    const Acceptance acceptance = acceptRevision(manifest, cache);
    if (acceptance.document != nullptr) {
        for (const SectionInfo &info : acceptance.document->sections) {
            digests.try_emplace(info.name, info.digest);
        }
        return digests;
    }
    for (const ManifestEntry &entry : manifest.sections) {
        if (!entry.previous.empty()) {
            digests.try_emplace(entry.name, entry.previous);
        }
    }
    return digests;
}

Manifest nextManifest(
    std::string_view fleet, std::uint64_t revision, const Manifest *base, std::span<const SectionChange> changes, SectionCache &cache)
{
    Manifest next{std::string(fleet), revision, {}};
    NameMap<std::string> inForce;
    if (base != nullptr) {
        next.sections = base->sections;
        inForce = digestsInForce(*base, cache);
    }
    for (const SectionChange &change : changes) {
        const auto entry = std::ranges::find(next.sections, change.name, &ManifestEntry::name);
        if (entry == next.sections.end()) {
            next.sections.push_back({change.name, change.digest, {}});
        } else {
            entry->digest = change.digest;
        }
    }
    for (ManifestEntry &entry : next.sections) {
        const auto previous = inForce.find(entry.name);
        entry.previous = previous == inForce.end() ? std::string() : previous->second;
    }
    // A section whose removal is in force no longer needs an entry.
    std::erase_if(next.sections, [](const ManifestEntry &entry) {
        return entry.digest.empty() && entry.previous.empty();
    });
    return next;
}

} // namespace Galenarack
