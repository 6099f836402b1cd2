#include <galenarack/config/manifest.h>

#include <galenarack/core/digest.h>
#include <galenarack/core/errorkind.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace Galenarack {

namespace {

constexpr std::size_t digestDigits = 64;
constexpr std::size_t maxNameBytes = 63;
constexpr std::size_t maxSections = 4'096;

bool isDigest(std::string_view text)
{
    return text.size() == digestDigits && std::ranges::all_of(text, [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

/// @return a string member, or nothing when it is absent or of another type
std::optional<std::string> textMember(const nlohmann::json &object, const char *name)
{
    const auto member = object.find(name);
    if (member == object.end() || !member->is_string()) {
        return std::nullopt;
    }
    return member->get<std::string>();
}

/// Reads one entry of "sections".
/// @return the error; empty when the entry is valid
std::string readEntry(const nlohmann::json &json, std::set<std::string> &names, ManifestEntry &entry)
{
    if (!json.is_object()) {
        return "not an object";
    }
    const auto name = textMember(json, "name");
    const auto digest = textMember(json, "digest");
    const auto previous = textMember(json, "previous");
    if (!name || name->empty() || name->size() > maxNameBytes) {
        return "name: must be a string of 1 to 63 bytes";
    }
    if (!names.insert(*name).second) {
        return "name '" + *name + "': given twice";
    }
    if (!digest || !previous || (!digest->empty() && !isDigest(*digest)) || (!previous->empty() && !isDigest(*previous))) {
        return "section '" + *name + "': digest and previous must each be 64 lower-case hexadecimal digits or empty";
    }
    if (digest->empty() && previous->empty()) {
        return "section '" + *name + "': digest and previous must not both be empty";
    }
    entry = {*name, *digest, *previous};
    return {};
}

absl::Status invalid(std::string_view detail)
{
    return makeError(ErrorKind::ConfigInvalid, "manifest: " + std::string(detail));
}

} // namespace

absl::StatusOr<Manifest> Manifest::parse(std::string_view json)
{
    const nlohmann::json root = nlohmann::json::parse(json, nullptr, false);
    if (!root.is_object()) {
        return invalid("not a JSON object");
    }
    std::string errors;
    const auto report = [&errors](std::string_view text) {
        errors += (errors.empty() ? "" : "; ") + std::string(text);
    };
    Manifest manifest;
    if (const auto fleet = textMember(root, "fleet"); fleet && !fleet->empty()) {
        manifest.fleet = *fleet;
    } else {
        report("fleet: must be a non-empty string");
    }
    const auto revision = root.find("revision");
    if (revision != root.end() && revision->is_number_unsigned() && revision->get<std::uint64_t>() > 0) {
        manifest.revision = revision->get<std::uint64_t>();
    } else {
        report("revision: must be a whole number above 0");
    }
    const auto sections = root.find("sections");
    if (sections == root.end() || !sections->is_array() || sections->empty() || sections->size() > maxSections) {
        report("sections: must be a list of 1 to 4096 entries");
        return invalid(errors);
    }
    std::set<std::string> names;
    for (const nlohmann::json &element : *sections) {
        ManifestEntry entry;
        if (const std::string error = readEntry(element, names, entry); !error.empty()) {
            report("sections[" + std::to_string(manifest.sections.size()) + "]: " + error);
        }
        manifest.sections.push_back(std::move(entry));
    }
    if (!errors.empty()) {
        return invalid(errors);
    }
    return manifest;
}

std::string Manifest::toJson() const
{
    nlohmann::ordered_json root;
    root["fleet"] = this->fleet;
    root["revision"] = this->revision;
    root["sections"] = nlohmann::ordered_json::array();
    for (const ManifestEntry &entry : this->sections) {
        nlohmann::ordered_json element;
        element["name"] = entry.name;
        element["digest"] = entry.digest;
        element["previous"] = entry.previous;
        root["sections"].push_back(std::move(element));
    }
    return root.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

std::string Manifest::digest() const
{
    return sha256Hex(this->toJson());
}

std::vector<std::string> Manifest::allDigests() const
{
    std::vector<std::string> digests;
    for (const ManifestEntry &entry : this->sections) {
        for (const std::string &digest : {entry.digest, entry.previous}) {
            if (!digest.empty()) {
                digests.push_back(digest);
            }
        }
    }
    std::ranges::sort(digests);
    digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
    return digests;
}

} // namespace Galenarack
