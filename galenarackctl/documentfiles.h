#pragma once

#include <galenarack/document/documentchecker.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <filesystem>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// One section in a file.
struct FileSection
{
    std::string file;
    unsigned firstLine = 1; ///< Line of the file at which the section starts.
    std::string text; ///< The bytes to publish.
    std::shared_ptr<const Section> content; ///< Lines are those of the file.
    std::string name; ///< As in the section; the file name when it has none.
};

/// Splits a text at lines that begin with "---"; parts with nothing but comments are left out.
/// @return parts with their first line
std::vector<std::pair<unsigned, std::string>> splitDocuments(std::string_view text);

/// Reads a whole file.
absl::StatusOr<std::string> readFile(const std::filesystem::path &path);

/// Writes a whole file and creates its folder.
absl::Status writeFile(const std::filesystem::path &path, std::string_view bytes);

/// Reads the sections of files; a folder stands for its *.yaml files in the order of their names.
absl::StatusOr<std::vector<FileSection>> readSections(const std::vector<std::string> &paths);

/// @return the sections as a document in which all are new
std::vector<SectionVersions> toSectionVersions(const std::vector<FileSection> &sections);

/// @return all errors of the sections together, including sections given twice
std::vector<Finding> checkSections(const std::vector<FileSection> &sections);

/// Prints findings as a table or as a JSON list.
void printFindings(std::ostream &out, bool isJson, const std::vector<Finding> &findings, const std::vector<FileSection> &sections);

} // namespace Galenarack
