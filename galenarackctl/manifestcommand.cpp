#include "manifestcommand.h"

#include "documentfiles.h"

#include <galenarack/config/publication.h>
#include <galenarack/core/digest.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <ostream>
#include <sstream>

DEFINE_uint64(revision, 0, "manifest: revision to publish, greater than that of --previous");
DEFINE_string(previous, "", "manifest: file of the previous manifest; its section values are read from the folder section/ next to it");
DEFINE_string(fleet, "", "manifest: name of the fleet; default: that of --previous");
DEFINE_string(remove, "", "manifest: names of sections to remove, separated by commas");
DEFINE_string(output_dir, ".", "manifest: folder that the manifest and section/<digest> are written to");

namespace Galenarack {

namespace {

namespace fs = std::filesystem;

/// Reads the manifest of --previous, if set, and stores its section values in `values`.
absl::StatusOr<std::optional<Manifest>> readPreviousManifest(SectionCache &values)
{
    if (FLAGS_previous.empty()) {
        return std::optional<Manifest>();
    }
    const auto json = readFile(FLAGS_previous);
    if (!json.ok()) {
        return json.status();
    }
    auto base = Manifest::parse(*json);
    if (!base.ok()) {
        return base.status();
    }
    for (const std::string &digest : base->allDigests()) {
        auto value = readFile(fs::path(FLAGS_previous).parent_path() / "section" / digest);
        if (!value.ok()) {
            return value.status();
        }
        if (const absl::Status status = values.put(digest, std::move(*value)); !status.ok()) {
            return status;
        }
    }
    return std::optional<Manifest>(std::move(*base));
}

/// Returns the changes of the files and of --remove, and stores the section values of the files in `values`.
absl::StatusOr<std::vector<SectionChange>> collectChanges(const std::vector<FileSection> &sections, SectionCache &values)
{
    std::vector<SectionChange> changes;
    for (const FileSection &section : sections) {
        const std::string digest = sha256Hex(section.text);
        if (const absl::Status status = values.put(digest, section.text); !status.ok()) {
            return status;
        }
        changes.push_back({section.name, digest});
    }
    std::istringstream names(FLAGS_remove);
    for (std::string name; std::getline(names, name, ',');) {
        changes.push_back({name, {}});
    }
    return changes;
}

absl::Status writeAll(const Manifest &manifest, const SectionCache &values)
{
    const fs::path folder(FLAGS_output_dir);
    for (const std::string &digest : manifest.allDigests()) {
        if (absl::Status status = writeFile(folder / "section" / digest, *values.bytes(digest)); !status.ok()) {
            return status;
        }
    }
    return writeFile(folder / "manifest", manifest.toJson());
}

} // namespace

ExitCode runManifest(const CommandContext &context)
{
    // The cache has no size limit, because the values of both revisions are needed, regardless of the size of the document.
    SectionCache values(std::numeric_limits<std::size_t>::max());
    const auto base = readPreviousManifest(values);
    if (!base.ok()) {
        return usageError(context, std::string(base.status().message()));
    }
    const Manifest *previous = base->has_value() ? &**base : nullptr;
    const std::string fleet = !FLAGS_fleet.empty() || previous == nullptr ? FLAGS_fleet : previous->fleet;
    if (fleet.empty() || (previous != nullptr && previous->fleet != fleet)) {
        return usageError(context, "--fleet is needed without --previous, and must match the fleet of --previous");
    }
    if (FLAGS_revision == 0 || (previous != nullptr && FLAGS_revision <= previous->revision)) {
        return usageError(context, "--revision is needed and must be greater than that of --previous");
    }
    if (context.arguments.empty() && FLAGS_remove.empty()) {
        return usageError(context, "manifest needs at least one file");
    }
    absl::StatusOr<std::vector<FileSection>> sections = std::vector<FileSection>();
    if (!context.arguments.empty()) {
        sections = readSections(context.arguments);
    }
    if (!sections.ok()) {
        return usageError(context, std::string(sections.status().message()));
    }
    const auto changes = collectChanges(*sections, values);
    if (!changes.ok()) {
        return usageError(context, std::string(changes.status().message()));
    }
    const Manifest manifest = nextManifest(fleet, FLAGS_revision, previous, *changes, values);
    const Acceptance acceptance = acceptRevision(manifest, values);
    if (!acceptance.findings.empty()) {
        printFindings(context.err, context.isJson, acceptance.findings, *sections);
        // Errors in a section of another team must not prevent this team from publishing its own sections.
        const bool isOwnError = std::ranges::any_of(acceptance.findings, [&changes](const Finding &finding) {
            return std::ranges::find(*changes, finding.section, &SectionChange::name) != changes->end();
        });
        if (isOwnError || acceptance.document == nullptr) {
            context.err << "nothing is written\n";
            return ExitCode::Findings;
        }
    }
    if (const absl::Status status = writeAll(manifest, values); !status.ok()) {
        return usageError(context, std::string(status.message()));
    }
    context.out << manifest.toJson();
    return ExitCode::Ok;
}

} // namespace Galenarack
