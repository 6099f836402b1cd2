#pragma once

#include <galenarack/document/document.h>

#include <compare>
#include <string>
#include <vector>

namespace Galenarack {

/// One difference between two documents.
struct DocumentChange
{
    /// What happened to the row.
    enum class Action : std::uint8_t {
        Added,
        Removed,
        Changed,
    };

    std::string section; ///< Section of the row in the new document; in the old one when it was removed.
    std::string owner; ///< Owner of that section.
    std::string kind; ///< "section", "service", "upstream", "route", "account" or "timings".
    std::string name; ///< Name of the row; prefix and methods of a route.
    Action action = Action::Changed;
    std::string field; ///< Only of Changed.
    std::string before; ///< Only of Changed.
    std::string after; ///< Only of Changed.

    auto operator<=>(const DocumentChange &) const = default; // NOLINT(modernize-use-nullptr): false report of clang-tidy 14

    /// @return one line for people and the audit trail
    std::string toString() const;
};

/// @return "added", "removed" or "changed"
std::string_view changeActionName(DocumentChange::Action action);

/// Compares documents for the audit trail and the operators' tool.
class DocumentDiff
{
public:
    /// The order of rows is not a difference. Sections with equal digests are not compared.
    /// @return the changes, sorted by section, kind and name
    static std::vector<DocumentChange> compare(const Document &before, const Document &after);
};

} // namespace Galenarack
