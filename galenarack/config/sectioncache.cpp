#include <galenarack/config/sectioncache.h>

#include <galenarack/core/digest.h>
#include <galenarack/core/errorkind.h>
#include <galenarack/document/documentparser.h>

#include <algorithm>
#include <utility>

namespace Galenarack {

SectionCache::SectionCache(std::size_t maxBytes)
    : maxBytes(maxBytes)
{
}

absl::Status SectionCache::put(std::string_view digest, std::string bytes)
{
    if (bytes.size() > maxSectionBytes) {
        return makeError(ErrorKind::ConfigInvalid,
                         "section " + std::string(digest) + ": " + std::to_string(bytes.size()) + " bytes; allowed: at most 1048576");
    }
    if (const std::string actual = sha256Hex(bytes); actual != digest) {
        return makeError(ErrorKind::ConfigInvalid, "section " + std::string(digest) + ": the value has the SHA-256 " + actual);
    }
    auto [entry, isNew] = this->entries.try_emplace(std::string(digest));
    entry->second.lastUse = ++this->uses;
    if (isNew) {
        this->storedBytes += bytes.size();
        entry->second.bytes = std::make_shared<const std::string>(std::move(bytes));
        this->evict();
    }
    return absl::OkStatus();
}

bool SectionCache::contains(std::string_view digest) const
{
    return this->entries.find(digest) != this->entries.end();
}

std::shared_ptr<const std::string> SectionCache::bytes(std::string_view digest) const
{
    const auto entry = this->entries.find(digest);
    return entry == this->entries.end() ? nullptr : entry->second.bytes;
}

std::shared_ptr<const Section> SectionCache::section(std::string_view digest, std::string_view name)
{
    const auto entry = this->entries.find(digest);
    if (entry == this->entries.end()) {
        return nullptr;
    }
    Entry &value = entry->second;
    value.lastUse = ++this->uses;
    if (value.parsed == nullptr || value.parsedName != name) {
        value.parsed = DocumentParser::parse(*value.bytes, name);
        value.parsedName = name;
        ++this->parses;
    }
    return value.parsed;
}

std::vector<std::string> SectionCache::missing(std::span<const std::string> digests) const
{
    std::vector<std::string> absent;
    for (const std::string &digest : digests) {
        if (!this->contains(digest)) {
            absent.push_back(digest);
        }
    }
    return absent;
}

void SectionCache::pin(std::span<const std::string> digests)
{
    for (auto &[digest, entry] : this->entries) {
        entry.pinned = false;
    }
    for (const std::string &digest : digests) {
        if (const auto entry = this->entries.find(digest); entry != this->entries.end()) {
            entry->second.pinned = true;
        }
    }
    this->evict();
}

void SectionCache::evict()
{
    while (this->storedBytes > this->maxBytes) {
        auto oldest = this->entries.end();
        for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
            // The most recently used value is kept: it has just been fetched for the manifest that is being processed.
            if (entry->second.pinned || entry->second.lastUse == this->uses) {
                continue;
            }
            if (oldest == this->entries.end() || entry->second.lastUse < oldest->second.lastUse) {
                oldest = entry;
            }
        }
        if (oldest == this->entries.end()) {
            return;
        }
        this->storedBytes -= oldest->second.bytes->size();
        this->entries.erase(oldest);
    }
}

} // namespace Galenarack
