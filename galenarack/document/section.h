#pragma once

#include <galenarack/document/document.h>
#include <galenarack/document/fieldtable.h>
#include <galenarack/document/finding.h>

#include <string>
#include <vector>

namespace Galenarack {

/// Row of a section with its line and, in place of an index, the name of its service.
template<typename Row>
struct SectionRow
{
    Row row;
    unsigned line = 0; ///< Line of the row, from 1.
    std::string service; ///< Service name of an upstream or route; empty for other rows.
};

/// Parsed content of one section value. It depends only on the value and the section name, so SectionCache keeps it by digest.
struct Section
{
    SectionInfo info;
    SectionKind kind = SectionKind::Services;
    std::vector<SectionRow<ServiceRow>> services;
    std::vector<SectionRow<UpstreamRow>> upstreams;
    std::vector<SectionRow<RouteRow>> routes;
    std::vector<SectionRow<AccountRow>> accounts;
    Timings timings; ///< Valid only when kind is Timings.
    unsigned listLine = 0; ///< Line of the list or of the timings, from 1.
    std::vector<Finding> findings; ///< Errors that are found without other sections: syntax, types, units and ranges.
};

} // namespace Galenarack
