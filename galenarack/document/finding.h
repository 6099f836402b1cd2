#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// One error in a document: where it is, the value found and what is allowed there.
struct Finding
{
    std::string section;
    std::string owner; ///< Owner of the section; empty when it could not be read.
    unsigned line = 0; ///< Line in the section, from 1; 0 concerns the section as a whole.
    std::string field; ///< Field or row concerned, e.g. "deadline_ms" or "upstream lodging-3".
    std::string value; ///< Value found, shortened to 80 bytes.
    std::string problem; ///< What is wrong.
    std::string allowed; ///< What is allowed.

    auto operator<=>(const Finding &) const = default; // NOLINT(modernize-use-nullptr): false report of clang-tidy 14

    /// @return one line for people and logs
    std::string toString() const;
};

/// Sorts by section, line and the other members and removes duplicates, so that every node lists the same errors in the same order.
void sortFindings(std::vector<Finding> &findings);

/// @return `value` cut to the length that errors show
std::string shortened(std::string_view value);

} // namespace Galenarack
