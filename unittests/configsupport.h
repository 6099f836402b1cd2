#pragma once

#include <galenarack/config/acceptance.h>
#include <galenarack/config/manifest.h>
#include <galenarack/core/digest.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// @return the text of a section: the header with test values and the list
inline std::string sectionText(std::string_view name, std::string_view list)
{
    return "section: " + std::string(name) + "\nowner: " + std::string(name) + " team\npurpose: test\ncontact: test@example\n"
           + std::string(list);
}

/// @return a services section with one service for each floor count; the names are "s0", "s1", ...
inline std::string servicesText(const std::vector<unsigned> &floors)
{
    std::string list = "services:\n";
    for (std::size_t i = 0; i < floors.size(); ++i) {
        list += "  - {name: s" + std::to_string(i) + ", floor: {count: " + std::to_string(floors[i]) + "}}\n";
    }
    return sectionText("services", list);
}

/// @return an upstreams section with `count` upstreams of one service, the last `retired` of them retired
inline std::string upstreamsText(std::string_view section, std::string_view service, unsigned count, unsigned retired = 0)
{
    std::string list = "upstreams:\n";
    for (unsigned i = 0; i < count; ++i) {
        list += "  - {name: " + std::string(section) + "-" + std::to_string(i) + ", service: " + std::string(service) + ", vm: vm-"
                + std::to_string(i) + ", failure_domain: d" + std::to_string(i % 3) + ", slots: 3"
                + (i >= count - retired ? ", rule: retire" : "") + "}\n";
    }
    return sectionText(section, count == 0 ? "upstreams: []\n" : list);
}

/// @return a routes section with one route for each service; "s0" has the prefix "/s0"
inline std::string routesText(const std::vector<std::string> &services, std::string_view extra = "")
{
    std::string list = "routes:\n";
    for (const std::string &service : services) {
        list.append("  - {prefix: /").append(service).append(", service: ").append(service).append(extra).append("}\n");
    }
    return sectionText("routes", list);
}

/// Latest and previous text of a section in a test revision.
struct TestSection
{
    std::string name;
    std::string latest; ///< Latest text; empty when the section is removed.
    std::string previous; ///< Previous text; empty when the section is new.
};

/// Creates a manifest of the fleet "test" and stores all section values in the cache.
inline Manifest makeManifest(std::uint64_t revision, const std::vector<TestSection> &sections, SectionCache &cache)
{
    Manifest manifest{"test", revision, {}};
    const auto store = [&cache](const std::string &text) {
        std::string digest = text.empty() ? std::string() : sha256Hex(text);
        CPPUNIT_ASSERT(text.empty() || cache.put(digest, text).ok());
        return digest;
    };
    for (const TestSection &section : sections) {
        manifest.sections.push_back({section.name, store(section.latest), store(section.previous)});
    }
    return manifest;
}

/// @return all findings, one per line
inline std::string findingsText(const std::vector<Finding> &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        text += finding.toString() + "\n";
    }
    return text;
}

} // namespace Galenarack
