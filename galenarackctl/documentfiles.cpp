#include "documentfiles.h"

#include "texttable.h"

#include <galenarack/core/errorkind.h>
#include <galenarack/document/documentparser.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace Galenarack {

namespace {

namespace fs = std::filesystem;

/// @return whether a line is neither blank nor a YAML comment
bool hasContent(std::string_view line)
{
    const std::size_t first = line.find_first_not_of(" \t\r");
    return first != std::string_view::npos && line[first] != '#';
}

/// @return the file itself, or the sorted *.yaml files of a folder
absl::StatusOr<std::vector<fs::path>> listFiles(const fs::path &path)
{
    std::error_code error;
    if (!fs::is_directory(path, error)) {
        return std::vector{path};
    }
    std::vector<fs::path> files;
    for (const auto &entry : fs::directory_iterator(path, error)) {
        if (entry.path().extension() == ".yaml") {
            files.push_back(entry.path());
        }
    }
    if (error) {
        return makeError(ErrorKind::SettingInvalid, path.string() + ": " + error.message());
    }
    std::ranges::sort(files);
    return files;
}

std::string fileOf(const Finding &finding, const std::vector<FileSection> &sections)
{
    const auto section = std::ranges::find(sections, finding.section, &FileSection::name);
    return section == sections.end() ? std::string() : section->file;
}

} // namespace

std::vector<std::pair<unsigned, std::string>> splitDocuments(std::string_view text)
{
    std::vector<std::pair<unsigned, std::string>> parts;
    std::string part;
    bool partHasContent = false;
    unsigned firstLine = 1;
    unsigned line = 1;
    const auto endPart = [&] {
        if (partHasContent) {
            parts.emplace_back(firstLine, part);
        }
        part.clear();
        partHasContent = false;
        firstLine = line + 1;
    };
    for (std::size_t begin = 0; begin < text.size(); ++line) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        const std::string_view content = text.substr(begin, end - begin);
        begin = end + 1;
        if (content.starts_with("---")) {
            endPart();
            continue;
        }
        part += std::string(content) + "\n";
        partHasContent = partHasContent || hasContent(content);
    }
    endPart();
    return parts;
}

absl::StatusOr<std::string> readFile(const fs::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        return makeError(ErrorKind::SettingInvalid, path.string() + ": cannot be read");
    }
    return text.str();
}

absl::Status writeFile(const fs::path &path, std::string_view bytes)
{
    std::error_code error;
    fs::create_directories(path.parent_path(), error);
    std::ofstream stream(path, std::ios::binary);
    stream << bytes;
    stream.close();
    if (error || !stream) {
        return makeError(ErrorKind::SettingInvalid, path.string() + ": cannot be written");
    }
    return absl::OkStatus();
}

absl::StatusOr<std::vector<FileSection>> readSections(const std::vector<std::string> &paths)
{
    std::vector<FileSection> sections;
    for (const std::string &path : paths) {
        const auto files = listFiles(path);
        if (!files.ok()) {
            return files.status();
        }
        for (const fs::path &file : *files) {
            const auto text = readFile(file);
            if (!text.ok()) {
                return text.status();
            }
            for (auto &[firstLine, part] : splitDocuments(*text)) {
                FileSection section{file.string(), firstLine, std::move(part), nullptr, {}};
                section.content = DocumentParser::parse(section.text, {}, firstLine);
                section.name = section.content->info.name.empty() ? file.filename().string() : section.content->info.name;
                sections.push_back(std::move(section));
            }
        }
    }
    if (sections.empty()) {
        return makeError(ErrorKind::SettingInvalid, "the files contain no section");
    }
    return sections;
}

std::vector<SectionVersions> toSectionVersions(const std::vector<FileSection> &sections)
{
    std::vector<SectionVersions> versions;
    versions.reserve(sections.size());
    for (const FileSection &section : sections) {
        versions.push_back({section.name, section.content, nullptr});
    }
    return versions;
}

std::vector<Finding> checkSections(const std::vector<FileSection> &sections)
{
    std::vector<Finding> findings = DocumentChecker(toSectionVersions(sections)).check();
    std::set<std::string> names;
    for (const FileSection &section : sections) {
        if (!names.insert(section.name).second) {
            const std::string &owner = section.content->info.owner;
            findings.push_back(
                {section.name, owner, section.firstLine, "section", section.name, "the section is given twice", "one definition"});
        }
    }
    sortFindings(findings);
    return findings;
}

void printFindings(std::ostream &out, bool isJson, const std::vector<Finding> &findings, const std::vector<FileSection> &sections)
{
    if (isJson) {
        nlohmann::ordered_json list = nlohmann::ordered_json::array();
        for (const Finding &finding : findings) {
            nlohmann::ordered_json element;
            element["section"] = finding.section;
            element["owner"] = finding.owner;
            element["file"] = fileOf(finding, sections);
            element["line"] = finding.line;
            element["field"] = finding.field;
            element["value"] = finding.value;
            element["problem"] = finding.problem;
            element["allowed"] = finding.allowed;
            list.push_back(std::move(element));
        }
        out << list.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
        return;
    }
    std::vector<std::vector<std::string>> rows;
    for (const Finding &finding : findings) {
        const std::string place = fileOf(finding, sections) + (finding.line > 0 ? ":" + std::to_string(finding.line) : "");
        rows.push_back({place, finding.section, finding.owner, finding.field, finding.value, finding.problem, finding.allowed});
    }
    if (!rows.empty()) {
        printTable(out, {"PLACE", "SECTION", "OWNER", "FIELD", "VALUE", "PROBLEM", "ALLOWED"}, rows);
    }
}

} // namespace Galenarack
