#pragma once

#include <galenarack/document/section.h>

#include <memory>
#include <string_view>

namespace Galenarack {

/// Largest value of the configuration service, and so the largest section.
inline constexpr std::size_t maxSectionBytes = std::size_t{1024} * 1024;

/// Parses the value of one section and checks what can be checked without the other sections.
class DocumentParser
{
public:
    /// Never fails: what is wrong is in Section::findings, and rows with errors are kept as far as they could be read.
    /// @param text the value of the section, YAML
    /// @param expectedName name in the manifest; empty accepts any name
    /// @param firstLine line number of the first line of `text`, for a section that stands inside a longer file
    static std::shared_ptr<const Section> parse(std::string_view text, std::string_view expectedName = {}, unsigned firstLine = 1);
};

} // namespace Galenarack
