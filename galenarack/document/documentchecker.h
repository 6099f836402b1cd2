#pragma once

#include <galenarack/document/section.h>

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Galenarack {

/// One section of a document to check, with the content that it replaces.
struct SectionVersions
{
    std::string name;
    std::shared_ptr<const Section> latest; ///< Null when the section is removed.
    std::shared_ptr<const Section> previous; ///< Null when the section is new.

    /// @return whether the section is the same as before
    bool isUnchanged() const
    {
        return this->latest != nullptr && this->previous != nullptr && this->latest->info.digest == this->previous->info.digest;
    }
};

/// Checks the sections of a document together: references, names, overlapping routes, floors, and how much a change retires.
///
/// Each error is attributed to the section whose change causes it, not always to the one where it shows: when one team
/// removes a service that another team's routes still use, the error is in the section that removed it. Acceptance
/// holds back the sections named, so the attribution decides whose change has to wait.
///
/// A section with errors of its own is represented by its previous content where other sections are measured against it.
/// One misspelt field therefore does not make every reference to that section an error.
class DocumentChecker
{
public:
    /// @param sections in the order of the manifest; must outlive the checker
    explicit DocumentChecker(std::span<const SectionVersions> sections);

    /// @return all errors of all sections, sorted; empty when the document is valid
    std::vector<Finding> check() const;

    /// @return the tables of the latest sections with their indexes; fleet, revision and digest are left empty.
    ///     Rows whose service is unknown are left out, so it can also be called for a document with errors.
    Document build() const;

private:
    std::span<const SectionVersions> sections;
};

} // namespace Galenarack
