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

/// Section of the document, read from a file.
struct FileSection
{
    std::string file; ///< Path of the file.
    unsigned firstLine = 1; ///< Line number in the file at which the section starts, from 1.
    std::string text; ///< Content of the section, as published.
    std::shared_ptr<const Section> content; ///< Parsed section with line numbers of the file.
    std::string name; ///< Name of the section; the file name when the section states none.
};

/// Splits a text at lines that begin with "---". Parts that contain only comments and blank lines are omitted.
/// @return the number of the first line and the text of each part
std::vector<std::pair<unsigned, std::string>> splitDocuments(std::string_view text);

/// Reads a whole file.
/// @return SettingInvalid with the path when the file cannot be read
absl::StatusOr<std::string> readFile(const std::filesystem::path &path);

/// Writes a whole file; creates its folder if needed.
/// @return SettingInvalid with the path when the file cannot be written
absl::Status writeFile(const std::filesystem::path &path, std::string_view bytes);

/// Reads the sections of files and folders. Of a folder, the *.yaml files are read in the order of their names.
/// @return SettingInvalid when a file cannot be read or there is no section
absl::StatusOr<std::vector<FileSection>> readSections(const std::vector<std::string> &paths);

/// @return the sections as new sections of a document, without a version in force
std::vector<SectionVersions> toSectionVersions(const std::vector<FileSection> &sections);

/// @return all errors of the document that consists of the sections, including duplicate sections
std::vector<Finding> checkSections(const std::vector<FileSection> &sections);

/// Prints findings as a table or as a JSON array.
void printFindings(std::ostream &out, bool isJson, const std::vector<Finding> &findings, const std::vector<FileSection> &sections);

} // namespace Galenarack
