#pragma once

#include <galenarack/document/document.h>
#include <galenarack/document/fieldtable.h>
#include <galenarack/document/finding.h>

#include <string>
#include <vector>

namespace Galenarack {

/// A row as it stands in its section: with its line, and with the service by name.
template<typename Row>
struct SectionRow
{
    Row row;
    unsigned line = 0;
    std::string service; ///< Only upstreams and routes.
};

/// The parsed content of one section's value. Depends on the value alone, so it is kept by digest.
struct Section
{
    SectionInfo info;
    SectionKind kind = SectionKind::Services;
    std::vector<SectionRow<ServiceRow>> services;
    std::vector<SectionRow<UpstreamRow>> upstreams;
    std::vector<SectionRow<RouteRow>> routes;
    std::vector<SectionRow<AccountRow>> accounts;
    Timings timings; ///< Only when kind is Timings.
    unsigned listLine = 0; ///< Line of the list, or of the timings.
    std::vector<Finding> findings; ///< Errors inside the section: syntax, types, units and ranges.
};

} // namespace Galenarack
