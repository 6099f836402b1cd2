#pragma once

#include <galenarack/document/section.h>

#include <memory>
#include <string_view>

namespace Galenarack {

/// Largest value of the configuration service and so the largest section, in bytes.
inline constexpr std::size_t maxSectionBytes = std::size_t{1024} * 1024;

/// Parses the value of one section and makes all checks that do not need the other sections.
class DocumentParser
{
public:
    /// Parses a section. Never fails: errors are listed in Section::findings, and rows with errors keep the fields that could be read.
    /// @param text value of the section in YAML
    /// @param expectedName name in the manifest; empty accepts any name
    /// @param firstLine line number of the first line of `text`, for a section inside a longer file
    static std::shared_ptr<const Section> parse(std::string_view text, std::string_view expectedName = {}, unsigned firstLine = 1);
};

} // namespace Galenarack
