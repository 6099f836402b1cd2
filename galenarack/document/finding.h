#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// One error in a document, with its location, the value found and the allowed values.
struct Finding
{
    std::string section;
    std::string owner; ///< Owner of the section; empty when it could not be read.
    unsigned line = 0; ///< Line in the section, from 1; 0 for an error of the section as a whole.
    std::string field; ///< Field or row with the error, e.g. "deadline_ms" or "upstream lodging-3".
    std::string value; ///< Value found, truncated to 80 bytes.
    std::string problem; ///< Description of the error.
    std::string allowed; ///< Description of the allowed values.

    auto operator<=>(const Finding &) const = default; // NOLINT(modernize-use-nullptr): false report of clang-tidy 14

    /// @return a one-line description for operators and logs
    std::string toString() const;
};

/// Sorts findings by section, line and the other members and removes duplicates, so that every node lists equal errors in the same order.
void sortFindings(std::vector<Finding> &findings);

/// @return `value`, truncated to the 80 bytes that an error shows
std::string shortened(std::string_view value);

} // namespace Galenarack
