#pragma once

#include <galenarack/document/document.h>

#include <compare>
#include <string>
#include <vector>

namespace Galenarack {

/// One difference between two documents.
struct DocumentChange
{
    /// Kind of difference of the row.
    enum class Action : std::uint8_t {
        Added,
        Removed,
        Changed,
    };

    std::string section; ///< Section of the row in the new document, or in the old document when the row was removed.
    std::string owner; ///< Owner of the section.
    std::string kind; ///< "section", "service", "upstream", "route", "account" or "timings".
    std::string name; ///< Name of the row; prefix and methods of a route.
    Action action = Action::Changed;
    std::string field; ///< Name of the changed field; empty unless the action is Changed.
    std::string before; ///< Old value of the field; empty unless the action is Changed.
    std::string after; ///< New value of the field; empty unless the action is Changed.

    auto operator<=>(const DocumentChange &) const = default; // NOLINT(modernize-use-nullptr): false report of clang-tidy 14

    /// @return a one-line description for operators and the audit trail
    std::string toString() const;
};

/// @return "added", "removed" or "changed"
std::string_view changeActionName(DocumentChange::Action action);

/// Compares documents for the audit trail and for `galenarackctl`.
class DocumentDiff
{
public:
    /// Compares two documents. The order of rows is ignored, and rows of sections with equal digests are not compared.
    /// @return the changes, sorted by section, kind and name
    static std::vector<DocumentChange> compare(const Document &before, const Document &after);
};

} // namespace Galenarack
