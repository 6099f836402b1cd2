#pragma once

#include <galenarack/config/manifest.h>
#include <galenarack/config/sectioncache.h>
#include <galenarack/core/digest.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace Galenarack {

/// Name and text of a section of the target document.
struct TargetSection
{
    std::string name;
    std::string text;
};

/// Number of rows of each kind at the target size (section 1).
struct TargetSize
{
    unsigned services = 290;
    unsigned upstreams = 7'400;
    unsigned routes = 10'000;
    unsigned accounts = 14'000;
    unsigned nodes = 660;
};

/// Number of rows of a section of typical size.
inline constexpr unsigned usualRows = 2'500;

/// Number of rows of a section that nearly reaches the maximum value size of 1 MB.
inline constexpr unsigned largestRows = 9'000;

/// Makes a document of `scale` times the target size, in sections of up to `rowsPerSection` rows.
inline std::vector<TargetSection> makeTarget(double scale, unsigned rowsPerSection = usualRows)
{
    const TargetSize size;
    const auto scaled = [scale](unsigned count) {
        return std::max(1U, static_cast<unsigned>(std::lround(count * scale)));
    };
    std::vector<TargetSection> sections;
    const auto addRows = [&sections, rowsPerSection](const std::string &list, unsigned count, auto makeRow) {
        for (unsigned i = 0; i < count; ++i) {
            if (i % rowsPerSection == 0) {
                std::string name = list;
                name.append("-").append(std::to_string(i / rowsPerSection));
                std::string text = "section: ";
                text.append(name).append("\nowner: team of ").append(name).append("\npurpose: part of the target document\ncontact: ");
                text.append(name).append("@example\n").append(list).append(":\n");
                sections.push_back({std::move(name), std::move(text)});
            }
            sections.back().text += "  - {" + makeRow(i) + "}\n";
        }
    };
    const unsigned services = scaled(size.services);
    const unsigned nodes = scaled(size.nodes);
    const auto serviceName = [services](unsigned i) {
        return "service-" + std::to_string(i % services);
    };
    addRows("services", services, [](unsigned i) {
        return "name: service-" + std::to_string(i) + ", profile: claims, floor: {share: 0.6, per_failure_domain: 1}, queue: 64";
    });
    addRows("upstreams", scaled(size.upstreams), [&](unsigned i) {
        const unsigned vm = i % nodes;
        return "name: upstream-" + std::to_string(i) + ", service: " + serviceName(i) + ", vm: vm-" + std::to_string(vm)
               + ", failure_domain: region-" + std::to_string(vm % 2) + "-domain-" + std::to_string(vm % 6) + ", slots: 3";
    });
    addRows("routes", scaled(size.routes), [&](unsigned i) {
        return "prefix: /area-" + std::to_string(i % 97) + "/customers/" + std::to_string(i)
               + ", methods: [GET, HEAD], service: " + serviceName(i) + ", deadline_ms: 1500, hedge: true";
    });
    addRows("accounts", scaled(size.accounts), [](unsigned i) {
        return "name: account-" + std::to_string(i) + ", max_in_flight: 40, rate_per_s: 200";
    });
    return sections;
}

/// Stores the sections in the cache and makes their manifest. If `previous` is given, the new manifest has the next revision and refers to
/// the previous digest of each section.
inline Manifest publishTarget(const std::vector<TargetSection> &sections, SectionCache &cache, const Manifest *previous = nullptr)
{
    Manifest manifest{"target", previous == nullptr ? 1 : previous->revision + 1, {}};
    for (std::size_t i = 0; i < sections.size(); ++i) {
        const std::string digest = sha256Hex(sections[i].text);
        if (!cache.put(digest, sections[i].text).ok()) {
            std::cerr << "section " << sections[i].name << " could not be stored in the section cache\n";
            std::exit(1);
        }
        manifest.sections.push_back({sections[i].name, digest, previous == nullptr ? std::string() : previous->sections[i].digest});
    }
    return manifest;
}

} // namespace Galenarack
