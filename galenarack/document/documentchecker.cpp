#include <galenarack/document/documentchecker.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_set>
#include <utility>

namespace Galenarack {

namespace {

using KeySet = std::unordered_set<std::string, NameHash, std::equal_to<>>;

/// Location of a row: index of its section, and line.
struct Location
{
    std::size_t section = 0;
    unsigned line = 0;
};

/// Kinds of keys that rows are compared by, one for each check.
enum class KeyKind : std::uint8_t {
    Service,
    Upstream,
    Account,
    Route,
    RouteDeadline,
    VmDomain,
    ServiceUse,
    Timings,
};

std::string routeKey(const RouteRow &route)
{
    std::vector<std::string> methods = route.methods;
    std::ranges::sort(methods);
    std::string key = route.prefix;
    for (const std::string &method : methods) {
        key += " " + method;
    }
    return key;
}

std::string deadlineKey(const RouteRow &route)
{
    return routeKey(route) + " " + std::to_string(route.deadline.count());
}

std::string domainKey(const UpstreamRow &upstream)
{
    return upstream.vm + " " + upstream.failureDomain;
}

/// @return all keys of one kind in a section
KeySet keysOf(const Section &section, KeyKind kind)
{
    KeySet keys;
    const auto addAll = [&keys](const auto &rows, auto key) {
        for (const auto &row : rows) {
            keys.insert(key(row));
        }
    };
    const auto nameOf = [](const auto &row) {
        return row.row.name;
    };
    const auto serviceOf = [](const auto &row) {
        return row.service;
    };
    switch (kind) {
    case KeyKind::Service:
        addAll(section.services, nameOf);
        break;
    case KeyKind::Upstream:
        addAll(section.upstreams, nameOf);
        break;
    case KeyKind::Account:
        addAll(section.accounts, nameOf);
        break;
    case KeyKind::Route:
        addAll(section.routes, [](const auto &row) {
            return routeKey(row.row);
        });
        break;
    case KeyKind::RouteDeadline:
        addAll(section.routes, [](const auto &row) {
            return deadlineKey(row.row);
        });
        break;
    case KeyKind::VmDomain:
        addAll(section.upstreams, [](const auto &row) {
            return domainKey(row.row);
        });
        break;
    case KeyKind::ServiceUse:
        addAll(section.upstreams, serviceOf);
        addAll(section.routes, serviceOf);
        break;
    case KeyKind::Timings:
        if (section.kind == SectionKind::Timings) {
            keys.insert("timings");
        }
        break;
    }
    return keys;
}

bool isSameFloor(const FloorRule &a, const FloorRule &b)
{
    return a.count == b.count && a.share == b.share && a.perFailureDomain == b.perFailureDomain;
}

std::string percentText(double share)
{
    return std::to_string(static_cast<int>(std::floor(share * 100.0 + 1e-9))) + "%";
}

/// State of one check of a document, shared by the individual checks.
class CheckRun
{
public:
    explicit CheckRun(std::span<const SectionVersions> sections)
        : sections(sections)
    {
        for (const SectionVersions &versions : sections) {
            this->effective.push_back(effectiveOf(versions));
        }
        this->collectServices();
    }

    std::vector<Finding> run()
    {
        this->addOwnFindings();
        this->checkNames();
        this->checkRouteOverlaps();
        this->checkVmDomains();
        this->checkReferences();
        this->checkFloors();
        this->checkRetirement();
        this->checkDeadlines();
        for (Finding &finding : this->findings) {
            finding.owner = finding.owner.empty() ? this->ownerOf(finding.section) : finding.owner;
        }
        sortFindings(this->findings);
        return std::move(this->findings);
    }

private:
    /// Use of a service by the rows of the effective sections.
    struct ServiceState
    {
        Location location;
        const ServiceRow *row = nullptr;
        bool isRouted = false; ///< Whether some route uses the service.
        std::uint32_t upstreams = 0; ///< Number of upstreams that are not retired.
        std::map<std::string_view, std::uint32_t> byFailureDomain;
    };

    /// @return the content that other sections are checked against; null when there is none
    static const Section *effectiveOf(const SectionVersions &versions)
    {
        if (versions.latest != nullptr && !versions.latest->findings.empty() && versions.previous != nullptr) {
            return versions.previous.get();
        }
        return versions.latest.get();
    }

    /// Calls `visit(section index, row)` for all rows of the effective sections.
    template<typename Rows, typename Visit>
    void forEach(Rows Section::*rows, Visit visit) const
    {
        for (std::size_t i = 0; i < this->effective.size(); ++i) {
            if (this->effective[i] != nullptr) {
                for (const auto &row : this->effective[i]->*rows) {
                    visit(i, row);
                }
            }
        }
    }

    void add(Location location, std::string field, std::string_view value, std::string problem, std::string allowed)
    {
        const std::string &name = this->sections[location.section].name;
        this->findings.push_back({name, {}, location.line, std::move(field), shortened(value), std::move(problem), std::move(allowed)});
    }

    std::string ownerOf(std::string_view name) const
    {
        const auto versions = std::ranges::find(this->sections, name, &SectionVersions::name);
        for (const auto &section : {versions->latest, versions->previous}) {
            if (section != nullptr && !section->info.owner.empty()) {
                return section->info.owner;
            }
        }
        return {};
    }

    /// @return whether the previous content of the section has the key. The keys are collected on first use, since only errors need them.
    bool previousHasKey(std::size_t section, KeyKind kind, std::string_view key)
    {
        const auto &previous = this->sections[section].previous;
        if (previous == nullptr) {
            return false;
        }
        auto [entry, isNew] = this->previousKeys.try_emplace({section, kind});
        if (isNew) {
            entry->second = keysOf(*previous, kind);
        }
        return entry->second.find(key) != entry->second.end();
    }

    std::string locationText(Location location) const
    {
        return "section " + this->sections[location.section].name + " line " + std::to_string(location.line);
    }

    /// Two rows that exclude each other. The error is added to the section whose row is new, or to both when both or
    /// neither are new. Within one section it is added to the second row.
    struct Conflict
    {
        KeyKind kind;
        Location first;
        std::string firstKey;
        Location second;
        std::string secondKey;
        std::string field;
        std::string value;
        std::string problem;
        std::string allowed;
    };
    void addConflict(const Conflict &conflict)
    {
        const bool isFirstNew = !this->previousHasKey(conflict.first.section, conflict.kind, conflict.firstKey);
        const bool isSecondNew = !this->previousHasKey(conflict.second.section, conflict.kind, conflict.secondKey);
        const bool isOneSection = conflict.first.section == conflict.second.section;
        if (isOneSection || isSecondNew || !isFirstNew) {
            const std::string other = conflict.problem + this->locationText(conflict.first);
            this->add(conflict.second, conflict.field, conflict.value, other, conflict.allowed);
        }
        if (!isOneSection && (isFirstNew || !isSecondNew)) {
            const std::string other = conflict.problem + this->locationText(conflict.second);
            this->add(conflict.first, conflict.field, conflict.value, other, conflict.allowed);
        }
    }

    void collectServices()
    {
        this->forEach(&Section::services, [this](std::size_t i, const SectionRow<ServiceRow> &service) {
            this->services.try_emplace(service.row.name, ServiceState{{i, service.line}, &service.row, false, 0, {}});
        });
        this->forEach(&Section::routes, [this](std::size_t /*i*/, const SectionRow<RouteRow> &route) {
            if (const auto entry = this->services.find(route.service); entry != this->services.end()) {
                entry->second.isRouted = true;
            }
        });
        this->forEach(&Section::upstreams, [this](std::size_t /*i*/, const SectionRow<UpstreamRow> &upstream) {
            const auto entry = this->services.find(upstream.service);
            if (entry != this->services.end() && upstream.row.rule != UpstreamRule::Retire) {
                ++entry->second.upstreams;
                ++entry->second.byFailureDomain[upstream.row.failureDomain];
            }
        });
        for (std::size_t i = 0; i < this->effective.size(); ++i) {
            if (this->effective[i] != nullptr && this->effective[i]->kind == SectionKind::Timings) {
                this->timings = this->effective[i]->timings;
                this->timingsSection = i;
            }
        }
    }

    void addOwnFindings()
    {
        for (const SectionVersions &versions : this->sections) {
            if (versions.latest == nullptr) {
                continue;
            }
            for (Finding finding : versions.latest->findings) {
                finding.section = versions.name;
                this->findings.push_back(std::move(finding));
            }
        }
    }

    template<typename Rows>
    void checkUnique(Rows Section::*rows, KeyKind kind, std::string_view what)
    {
        NameMap<Location> first;
        this->forEach(rows, [&](std::size_t i, const auto &row) {
            if (row.row.name.empty()) {
                return; // The parser has reported the missing name.
            }
            const Location location{i, row.line};
            const auto [entry, isNew] = first.try_emplace(row.row.name, location);
            if (!isNew) {
                this->addConflict({kind,
                                   entry->second,
                                   row.row.name,
                                   location,
                                   row.row.name,
                                   std::string(what) + " name",
                                   row.row.name,
                                   "the name is also used at ",
                                   "a unique name"});
            }
        });
    }

    void checkNames()
    {
        this->checkUnique(&Section::services, KeyKind::Service, "service");
        this->checkUnique(&Section::upstreams, KeyKind::Upstream, "upstream");
        this->checkUnique(&Section::accounts, KeyKind::Account, "account");
        std::optional<Location> first;
        for (std::size_t i = 0; i < this->effective.size(); ++i) {
            if (this->effective[i] == nullptr || this->effective[i]->kind != SectionKind::Timings) {
                continue;
            }
            const Location location{i, this->effective[i]->listLine};
            if (first) {
                this->addConflict({KeyKind::Timings,
                                   *first,
                                   "timings",
                                   location,
                                   "timings",
                                   "timings",
                                   "",
                                   "timings are also given at ",
                                   "one timings section"});
            }
            first = first.value_or(location);
        }
    }

    /// Two routes overlap when they have the same prefix and a method in common.
    void checkRouteOverlaps()
    {
        struct Owner
        {
            Location location;
            const RouteRow *route;
        };
        // First route of each method by prefix; the empty method stands for all. One entry per method keeps the check linear.
        NameMap<std::map<std::string, Owner, std::less<>>> owners;
        this->forEach(&Section::routes, [&](std::size_t i, const SectionRow<RouteRow> &route) {
            if (route.row.prefix.empty()) {
                return;
            }
            auto &byMethod = owners[route.row.prefix];
            auto other = byMethod.find("");
            if (other == byMethod.end() && route.row.methods.empty()) {
                other = byMethod.begin();
            }
            for (const std::string &method : route.row.methods) {
                other = other == byMethod.end() ? byMethod.find(method) : other;
            }
            const Location location{i, route.line};
            if (other != byMethod.end()) {
                this->addConflict({KeyKind::Route,
                                   other->second.location,
                                   routeKey(*other->second.route),
                                   location,
                                   routeKey(route.row),
                                   "prefix",
                                   route.row.prefix,
                                   "overlaps the route at ",
                                   "routes with the same prefix only if their methods differ"});
            }
            for (const std::string &method : route.row.methods) {
                byMethod.try_emplace(method, Owner{location, &route.row});
            }
            if (route.row.methods.empty()) {
                byMethod.try_emplace("", Owner{location, &route.row});
            }
        });
    }

    void checkVmDomains()
    {
        NameMap<std::pair<Location, const UpstreamRow *>> first;
        this->forEach(&Section::upstreams, [&](std::size_t i, const SectionRow<UpstreamRow> &upstream) {
            const UpstreamRow &row = upstream.row;
            if (row.vm.empty() || row.failureDomain.empty()) {
                return;
            }
            const Location location{i, upstream.line};
            const auto [entry, isNew] = first.try_emplace(row.vm, location, &row);
            const UpstreamRow &other = *entry->second.second;
            if (!isNew && other.failureDomain != row.failureDomain) {
                this->addConflict({KeyKind::VmDomain,
                                   entry->second.first,
                                   domainKey(other),
                                   location,
                                   domainKey(row),
                                   "failure_domain",
                                   row.vm + " in " + other.failureDomain + " and " + row.failureDomain,
                                   "the VM is in another failure domain at ",
                                   "one failure domain for each VM"});
            }
        });
    }

    /// @return the index of the changed section whose previous content has the service
    std::optional<std::size_t> findRemovingSection(std::string_view service)
    {
        for (std::size_t i = 0; i < this->sections.size(); ++i) {
            if (!this->sections[i].isUnchanged() && this->previousHasKey(i, KeyKind::Service, service)) {
                return i;
            }
        }
        return std::nullopt;
    }

    template<typename Row>
    void checkReferencesIn(std::size_t section, const std::vector<SectionRow<Row>> &rows, const KeySet &known)
    {
        for (const SectionRow<Row> &row : rows) {
            if (row.service.empty() || known.find(row.service) != known.end()) {
                continue;
            }
            const Location location{section, row.line};
            const auto removingSection = this->findRemovingSection(row.service);
            if (removingSection && this->previousHasKey(section, KeyKind::ServiceUse, row.service)) {
                if (this->reportedRemovals.insert(row.service + " " + std::to_string(section)).second) {
                    this->add({*removingSection, 0},
                              "service",
                              row.service,
                              "the service is removed but still used at " + this->locationText(location),
                              "removal of a service after its upstreams and routes");
                }
            } else {
                this->add(location, "service", row.service, "unknown service", "the name of a service in the document");
            }
        }
    }

    void checkReferences()
    {
        KeySet known;
        for (const auto &[name, state] : this->services) {
            known.insert(name);
        }
        // Services in sections with errors count as known too, so that references to a new one are not reported as further errors.
        for (const SectionVersions &versions : this->sections) {
            if (versions.latest != nullptr) {
                known.merge(keysOf(*versions.latest, KeyKind::Service));
            }
        }
        for (std::size_t i = 0; i < this->sections.size(); ++i) {
            if (const auto &latest = this->sections[i].latest; latest != nullptr) {
                this->checkReferencesIn(i, latest->upstreams, known);
                this->checkReferencesIn(i, latest->routes, known);
            }
        }
    }

    /// @return the number of upstreams of `service` in one section that are not retired
    static std::size_t countServingUpstreams(const Section *section, std::string_view service)
    {
        if (section == nullptr) {
            return 0;
        }
        return static_cast<std::size_t>(std::ranges::count_if(section->upstreams, [service](const SectionRow<UpstreamRow> &upstream) {
            return upstream.service == service && upstream.row.rule != UpstreamRule::Retire;
        }));
    }

    /// @return the locations of the changes that make a floor impossible to meet: the floor itself, removed upstreams, or a first route
    std::vector<Location> findFloorCauses(const std::string &name, const ServiceState &service)
    {
        std::vector<Location> causes;
        const auto &previous = this->sections[service.location.section].previous;
        const bool isUnchanged = previous != nullptr && std::ranges::any_of(previous->services, [&](const SectionRow<ServiceRow> &row) {
                                     return row.row.name == name && isSameFloor(row.row.floor, service.row->floor);
                                 });
        if (!isUnchanged) {
            causes.push_back(service.location);
        }
        for (std::size_t i = 0; i < this->sections.size(); ++i) {
            const Section *before = this->sections[i].previous.get();
            if (this->sections[i].isUnchanged() || before == nullptr) {
                continue;
            }
            if (countServingUpstreams(before, name) > countServingUpstreams(this->effective[i], name)) {
                causes.push_back({i, this->effective[i] == nullptr ? 0 : this->effective[i]->listLine});
            }
        }
        if (causes.empty()) {
            for (std::size_t i = 0; i < this->sections.size(); ++i) {
                const Section *section = this->effective[i];
                if (section != nullptr && !section->routes.empty() && !this->previousHasKey(i, KeyKind::ServiceUse, name)
                    && keysOf(*section, KeyKind::ServiceUse).contains(name)) {
                    causes.push_back({i, section->listLine});
                }
            }
        }
        return causes.empty() ? std::vector{service.location} : causes;
    }

    void addFloorFinding(
        const std::string &name, const ServiceState &service, const std::string &field, std::uint32_t required, std::uint32_t limit)
    {
        for (const Location &location : this->findFloorCauses(name, service)) {
            this->add(location,
                      field,
                      std::to_string(required),
                      "the floor of service " + name + " cannot be met",
                      "at most the " + std::to_string(limit) + " upstreams that are not retired");
        }
    }

    void checkFloors()
    {
        for (const auto &[name, service] : this->services) {
            // A service may be defined before its first upstream, as long as no route sends requests to it.
            if (service.upstreams == 0 && !service.isRouted) {
                continue;
            }
            const FloorRule &floor = service.row->floor;
            std::uint32_t largestDomain = 0;
            for (const auto &[domain, count] : service.byFailureDomain) {
                largestDomain = std::max(largestDomain, count);
            }
            const std::uint32_t required = std::max(floor.count, 1U);
            if (required > service.upstreams) {
                this->addFloorFinding(name, service, "floor count", required, service.upstreams);
            }
            if (floor.perFailureDomain > largestDomain) {
                this->addFloorFinding(name, service, "floor per_failure_domain", floor.perFailureDomain, largestDomain);
            }
        }
    }

    /// Upstreams that a change retires, removes or moves away from one service.
    struct Retirement
    {
        std::uint32_t before = 0;
        std::uint32_t lost = 0;
        /// Sections that lose upstreams, with the line of the first lost upstream; 0 if it is removed or moved.
        std::map<std::size_t, unsigned> locations;
    };

    void checkRetirement()
    {
        NameMap<const SectionRow<UpstreamRow> *> now;
        this->forEach(&Section::upstreams, [&now](std::size_t /*i*/, const SectionRow<UpstreamRow> &upstream) {
            now.try_emplace(upstream.row.name, &upstream);
        });
        std::map<std::string, Retirement, std::less<>> retirements;
        for (std::size_t i = 0; i < this->sections.size(); ++i) {
            const auto &previous = this->sections[i].previous;
            if (previous == nullptr) {
                continue;
            }
            for (const SectionRow<UpstreamRow> &before : previous->upstreams) {
                if (before.row.rule == UpstreamRule::Retire) {
                    continue;
                }
                Retirement &retirement = retirements[before.service];
                ++retirement.before;
                const auto entry = now.find(before.row.name);
                const bool isListed = entry != now.end() && entry->second->service == before.service;
                if (!isListed || entry->second->row.rule == UpstreamRule::Retire) {
                    ++retirement.lost;
                    retirement.locations.try_emplace(i, isListed ? entry->second->line : 0);
                }
            }
        }
        for (const auto &[name, retirement] : retirements) {
            this->checkRetirementOf(name, retirement);
        }
    }

    void checkRetirementOf(const std::string &name, const Retirement &retirement)
    {
        // A service without routes may lose all upstreams, since that is how a service is taken out of use.
        const auto service = this->services.find(name);
        if (service == this->services.end() || !service->second.isRouted) {
            return;
        }
        constexpr double rounding = 1e-9;
        const double limit = this->timings.maxRetireShare * retirement.before;
        if (retirement.lost <= limit + rounding) {
            return;
        }
        for (const auto &[section, line] : retirement.locations) {
            this->add({section, line},
                      "upstreams of service " + name,
                      std::to_string(retirement.lost) + " of " + std::to_string(retirement.before),
                      "one revision retires, removes or moves too many upstreams",
                      "at most " + percentText(this->timings.maxRetireShare) + " (max_retire_share), here "
                          + std::to_string(static_cast<std::uint32_t>(limit + rounding)));
        }
    }

    /// Checks that no deadline exceeds the retry horizon: a response must be possible while its idempotency key is valid.
    void checkDeadlines()
    {
        this->forEach(&Section::routes, [this](std::size_t i, const SectionRow<RouteRow> &route) {
            if (route.row.deadline <= this->timings.retryHorizon) {
                return;
            }
            const auto horizon = std::chrono::duration_cast<std::chrono::milliseconds>(this->timings.retryHorizon).count();
            const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(route.row.deadline).count();
            const bool isOldRoute = this->previousHasKey(i, KeyKind::RouteDeadline, deadlineKey(route.row));
            if (isOldRoute && this->timingsSection) {
                this->add({*this->timingsSection, this->effective[*this->timingsSection]->listLine},
                          "retry_horizon_s",
                          std::to_string(horizon / 1000),
                          "shorter than the deadline_ms at " + this->locationText({i, route.line}),
                          "at least " + std::to_string((deadline + 999) / 1000));
            } else {
                this->add({i, route.line},
                          "deadline_ms",
                          std::to_string(deadline),
                          "longer than retry_horizon_s",
                          "at most " + std::to_string(horizon));
            }
        });
    }

    std::span<const SectionVersions> sections;
    std::vector<const Section *> effective; ///< Effective content of each section; null when there is none.
    std::map<std::string, ServiceState, std::less<>> services;
    Timings timings;
    std::optional<std::size_t> timingsSection;
    std::map<std::pair<std::size_t, KeyKind>, KeySet> previousKeys;
    KeySet reportedRemovals;
    std::vector<Finding> findings;
};

} // namespace

DocumentChecker::DocumentChecker(std::span<const SectionVersions> sections)
    : sections(sections)
{
}

std::vector<Finding> DocumentChecker::check() const
{
    return CheckRun(this->sections).run();
}

Document DocumentChecker::build() const
{
    Document document;
    std::vector<RouteRow> routes;
    std::vector<AccountRow> accounts;
    NameIndex services;
    for (const SectionVersions &versions : this->sections) {
        if (versions.latest == nullptr) {
            continue;
        }
        document.sections.push_back(versions.latest->info);
        for (const auto &service : versions.latest->services) {
            services.try_emplace(service.row.name, static_cast<std::uint32_t>(document.services.size()));
            document.services.push_back(service.row);
        }
    }
    for (const SectionVersions &versions : this->sections) {
        if (versions.latest == nullptr) {
            continue;
        }
        const Section &section = *versions.latest;
        for (const auto &upstream : section.upstreams) {
            if (const auto service = findIndex(services, upstream.service)) {
                document.upstreams.push_back(upstream.row);
                document.upstreams.back().service = *service;
            }
        }
        for (const auto &route : section.routes) {
            if (const auto service = findIndex(services, route.service)) {
                routes.push_back(route.row);
                routes.back().service = *service;
            }
        }
        for (const auto &account : section.accounts) {
            accounts.push_back(account.row);
        }
        if (section.kind == SectionKind::Timings) {
            document.timings = section.timings;
            document.timingsSection = section.info.name;
        }
    }
    document.routes = RouteTable(std::move(routes));
    document.accounts = AccountTable(std::move(accounts));
    document.buildIndexes();
    return document;
}

} // namespace Galenarack
