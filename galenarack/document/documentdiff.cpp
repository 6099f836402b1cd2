#include <galenarack/document/documentdiff.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace Galenarack {

namespace {

/// Name of one field of a row and its value as text.
struct FieldText
{
    std::string_view name;
    std::string value;
};

/// A row with its fields as text, for comparison.
struct ComparedRow
{
    std::string section;
    std::vector<FieldText> fields;
};

/// Rows by kind and name.
using ComparedRows = std::map<std::pair<std::string, std::string>, ComparedRow>;

template<typename Enumeration, std::size_t Count>
std::string enumerationText(Enumeration value, const std::array<std::string_view, Count> &names)
{
    return std::string(names[static_cast<std::size_t>(value)]);
}

std::string numberText(double value)
{
    std::array<char, 32> digits{};
    const int length = std::snprintf(digits.data(), digits.size(), "%g", value);
    return {digits.data(), static_cast<std::size_t>(length)};
}

std::string secondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(duration).count());
}

std::string methodsText(const RouteRow &route)
{
    std::vector<std::string> methods = route.methods;
    std::ranges::sort(methods);
    std::string text;
    for (const std::string &method : methods) {
        text += (text.empty() ? "" : ",") + method;
    }
    return text.empty() ? "all" : text;
}

std::vector<FieldText> fieldsOf(const ServiceRow &row)
{
    constexpr std::array<std::string_view, 2> profiles = {"claims", "authority"};
    return {{"profile", enumerationText(row.profile, profiles)},
            {"floor count", std::to_string(row.floor.count)},
            {"floor share", numberText(row.floor.share)},
            {"floor per_failure_domain", std::to_string(row.floor.perFailureDomain)},
            {"queue", std::to_string(row.queueLimit)}};
}

std::vector<FieldText> fieldsOf(const UpstreamRow &row, const std::string &service)
{
    constexpr std::array<std::string_view, 4> rules = {"judge", "trust", "aside", "retire"};
    return {{"service", service},
            {"vm", row.vm},
            {"failure_domain", row.failureDomain},
            {"slots", std::to_string(row.slots)},
            {"rule", enumerationText(row.rule, rules)}};
}

std::vector<FieldText> fieldsOf(const RouteRow &row, const std::string &service)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(row.deadline).count();
    const std::string repeatable = !row.repeatable ? "by method" : *row.repeatable ? "true" : "false";
    return {{"service", service},
            {"repeatable", repeatable},
            {"deadline_ms", std::to_string(milliseconds)},
            {"hedge", row.hedge ? "true" : "false"}};
}

std::vector<FieldText> fieldsOf(const AccountRow &row)
{
    return {{"max_in_flight", std::to_string(row.maxInFlight)}, {"rate_per_s", numberText(row.ratePerSecond)}};
}

std::vector<FieldText> fieldsOf(const Timings &timings)
{
    return {{"retry_horizon_s", secondsText(timings.retryHorizon)},
            {"answer_retention_s", secondsText(timings.answerRetention)},
            {"max_retire_share", numberText(timings.maxRetireShare)},
            {"ejection_base_s", secondsText(timings.ejectionBase)},
            {"ejection_max_s", secondsText(timings.ejectionMax)}};
}

/// @return the rows of all sections except those in `unchangedSections`
ComparedRows rowsOf(const Document &document, const std::set<std::string, std::less<>> &unchangedSections)
{
    ComparedRows rows;
    const auto add = [&](const char *kind, std::string name, const std::string &section, std::vector<FieldText> fields) {
        rows.try_emplace({kind, std::move(name)}, ComparedRow{section, std::move(fields)});
    };
    for (const SectionInfo &info : document.sections) {
        std::vector<FieldText> fields = {{"owner", info.owner}, {"purpose", info.purpose}, {"contact", info.contact}};
        fields.push_back({"held back", info.heldBack ? "true" : "false"});
        add("section", info.name, info.name, std::move(fields));
    }
    for (const ServiceRow &row : document.services) {
        if (!unchangedSections.contains(row.section)) {
            add("service", row.name, row.section, fieldsOf(row));
        }
    }
    for (const UpstreamRow &row : document.upstreams) {
        if (!unchangedSections.contains(row.section)) {
            add("upstream", row.name, row.section, fieldsOf(row, document.services[row.service].name));
        }
    }
    for (const RouteRow &row : document.routes.all()) {
        if (!unchangedSections.contains(row.section)) {
            add("route", row.prefix + " " + methodsText(row), row.section, fieldsOf(row, document.services[row.service].name));
        }
    }
    for (const AccountRow &row : document.accounts.all()) {
        if (!unchangedSections.contains(row.section)) {
            add("account", row.name, row.section, fieldsOf(row));
        }
    }
    add("timings", "", document.timingsSection, fieldsOf(document.timings));
    return rows;
}

/// @return names of the sections that have the same content in both documents
std::set<std::string, std::less<>> equalSections(const Document &before, const Document &after)
{
    std::set<std::string, std::less<>> unchangedSections;
    for (const SectionInfo &info : before.sections) {
        const auto other = std::ranges::find(after.sections, info.name, &SectionInfo::name);
        if (other != after.sections.end() && other->digest == info.digest && !info.digest.empty()) {
            unchangedSections.insert(info.name);
        }
    }
    return unchangedSections;
}

void compareFields(const DocumentChange &base, const ComparedRow &before, const ComparedRow &after, std::vector<DocumentChange> &changes)
{
    const auto add = [&](std::string_view field, const std::string &oldValue, const std::string &newValue) {
        if (oldValue != newValue) {
            DocumentChange change = base;
            change.field = field;
            change.before = oldValue;
            change.after = newValue;
            changes.push_back(std::move(change));
        }
    };
    for (std::size_t i = 0; i < before.fields.size(); ++i) {
        add(before.fields[i].name, before.fields[i].value, after.fields[i].value);
    }
    if (base.kind != "timings") {
        add("section", before.section, after.section);
    }
}

} // namespace

std::string_view changeActionName(DocumentChange::Action action)
{
    constexpr std::array<std::string_view, 3> names = {"added", "removed", "changed"};
    return names[static_cast<std::size_t>(action)];
}

std::string DocumentChange::toString() const
{
    std::string text = "section " + this->section + " (owner " + this->owner + "): " + this->kind;
    text += this->name.empty() ? "" : " " + this->name;
    if (this->action != Action::Changed) {
        return text + " " + std::string(changeActionName(this->action));
    }
    return text + ": " + this->field + " from " + this->before + " to " + this->after;
}

std::vector<DocumentChange> DocumentDiff::compare(const Document &before, const Document &after)
{
    const auto unchangedSections = equalSections(before, after);
    const ComparedRows oldRows = rowsOf(before, unchangedSections);
    const ComparedRows newRows = rowsOf(after, unchangedSections);
    const auto ownerIn = [](const Document &document, const std::string &section) {
        const auto info = std::ranges::find(document.sections, section, &SectionInfo::name);
        return info == document.sections.end() ? std::string() : info->owner;
    };

    std::vector<DocumentChange> changes;
    for (const auto &[key, row] : oldRows) {
        if (!newRows.contains(key)) {
            changes.push_back(
                {row.section, ownerIn(before, row.section), key.first, key.second, DocumentChange::Action::Removed, {}, {}, {}});
        }
    }
    for (const auto &[key, row] : newRows) {
        const auto old = oldRows.find(key);
        DocumentChange change{row.section, ownerIn(after, row.section), key.first, key.second, DocumentChange::Action::Added, {}, {}, {}};
        if (old == oldRows.end()) {
            changes.push_back(std::move(change));
        } else {
            change.action = DocumentChange::Action::Changed;
            if (row.section.empty()) {
                // The timings are the defaults again, so the change is attributed to the section that stated them before.
                change.section = old->second.section;
                change.owner = ownerIn(before, change.section);
            }
            compareFields(change, old->second, row, changes);
        }
    }
    std::ranges::sort(changes);
    return changes;
}

} // namespace Galenarack
