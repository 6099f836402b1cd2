#pragma once

#include <galenarack/document/section.h>

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Galenarack {

/// Latest and previous content of one section to check.
struct SectionVersions
{
    std::string name;
    std::shared_ptr<const Section> latest; ///< Null when the section is removed.
    std::shared_ptr<const Section> previous; ///< Null when the section is new.

    /// @return whether the latest content equals the previous one
    bool isUnchanged() const
    {
        return this->latest != nullptr && this->previous != nullptr && this->latest->info.digest == this->previous->info.digest;
    }
};

/// Checks the sections of a document together: references, unique names, overlapping routes, floors, and the share of upstreams that a
/// change retires.
///
/// Each error is attributed to the section whose change causes it, which is not always the section where it is detected: when one
/// team removes a service that another team's routes still use, the error is in the section that removed the service. Acceptance
/// holds back the sections named, so the attribution decides whose change is delayed.
///
/// Other sections are checked against the previous content of a section that has errors of its own. One misspelt field therefore
/// does not make every reference to that section an error.
class DocumentChecker
{
public:
    /// @param sections in the order of the manifest; must outlive the checker
    explicit DocumentChecker(std::span<const SectionVersions> sections);

    /// @return all errors of all sections, sorted; empty when the document is valid
    std::vector<Finding> check() const;

    /// @return the tables of the latest sections with their indexes; fleet, revision and digest are left empty.
    ///     Rows whose service is unknown are omitted, so build() can also be called for a document with errors.
    Document build() const;

private:
    std::span<const SectionVersions> sections;
};

} // namespace Galenarack
