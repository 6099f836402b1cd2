#include <galenarack/document/fieldtable.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Galenarack {

namespace {

constexpr std::array<std::string_view, 5> kindNames = {"services", "upstreams", "routes", "accounts", "timings"};

// clang-format off
constexpr std::array fields = {
    FieldSpec{"services", "name", FieldType::Name, true, 0, 0, "", "", ""},
    FieldSpec{"services", "profile", FieldType::Choice, false, 0, 0, "", "claims", "claims|authority"},
    FieldSpec{"services", "floor", FieldType::Map, true, 0, 0, "", "", ""},
    FieldSpec{"services", "queue", FieldType::Whole, false, 0, 10'000, "requests", "64", ""},
    FieldSpec{"floor", "count", FieldType::Whole, false, 1, 10'000, "upstreams", "none", ""},
    FieldSpec{"floor", "share", FieldType::Number, false, 0.01, 1, "share of the reachable upstreams", "none", ""},
    FieldSpec{"floor", "per_failure_domain", FieldType::Whole, false, 0, 10'000, "upstreams", "0", ""},
    FieldSpec{"upstreams", "name", FieldType::Name, true, 0, 0, "", "", ""},
    FieldSpec{"upstreams", "service", FieldType::Name, true, 0, 0, "", "", ""},
    FieldSpec{"upstreams", "vm", FieldType::VmName, true, 0, 0, "", "", ""},
    FieldSpec{"upstreams", "failure_domain", FieldType::Name, true, 0, 0, "", "", ""},
    FieldSpec{"upstreams", "slots", FieldType::Whole, true, 1, 10'000, "requests", "", ""},
    FieldSpec{"upstreams", "rule", FieldType::Choice, false, 0, 0, "", "judge", "judge|trust|aside|retire"},
    FieldSpec{"routes", "prefix", FieldType::Prefix, true, 0, 0, "", "", ""},
    FieldSpec{"routes", "methods", FieldType::Methods, false, 0, 0, "", "all", ""},
    FieldSpec{"routes", "service", FieldType::Name, true, 0, 0, "", "", ""},
    FieldSpec{"routes", "repeatable", FieldType::Flag, false, 0, 0, "", "by method", ""},
    FieldSpec{"routes", "deadline_ms", FieldType::Whole, false, 10, 300'000, "milliseconds", "5000", ""},
    FieldSpec{"routes", "hedge", FieldType::Flag, false, 0, 0, "", "false", ""},
    FieldSpec{"accounts", "name", FieldType::Name, true, 0, 0, "", "", ""},
    FieldSpec{"accounts", "max_in_flight", FieldType::Whole, false, 0, 1'000'000, "requests", "0", ""},
    FieldSpec{"accounts", "rate_per_s", FieldType::Number, false, 0, 1'000'000, "requests a second", "0", ""},
    FieldSpec{"timings", "retry_horizon_s", FieldType::Whole, false, 10, 3'600, "seconds", "300", ""},
    FieldSpec{"timings", "answer_retention_s", FieldType::Whole, false, 1, 3'600, "seconds", "60", ""},
    FieldSpec{"timings", "max_retire_share", FieldType::Number, false, 0, 1, "share of a service", "0.34", ""},
    FieldSpec{"timings", "ejection_base_s", FieldType::Whole, false, 1, 3'600, "seconds", "10", ""},
    FieldSpec{"timings", "ejection_max_s", FieldType::Whole, false, 1, 86'400, "seconds", "300", ""},
};
// clang-format on

std::string numberText(double value)
{
    std::array<char, 32> digits{};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value, std::chars_format::fixed);
    return {digits.data(), end};
}

} // namespace

std::string_view sectionKindName(SectionKind kind)
{
    return kindNames[static_cast<std::size_t>(kind)];
}

std::optional<SectionKind> sectionKindFromName(std::string_view name)
{
    const auto *const entry = std::ranges::find(kindNames, name);
    if (entry == kindNames.end()) {
        return std::nullopt;
    }
    return static_cast<SectionKind>(entry - kindNames.begin());
}

std::span<const FieldSpec> fieldTable()
{
    return fields;
}

std::span<const FieldSpec> fieldsOf(std::string_view group)
{
    const auto *const first = std::ranges::find(fields, group, &FieldSpec::group);
    const auto *const last = std::find_if(first, fields.end(), [group](const FieldSpec &spec) {
        return spec.group != group;
    });
    return {first, last};
}

std::string allowedText(const FieldSpec &spec)
{
    switch (spec.type) {
    case FieldType::Name:
        return "1 to 63 letters, digits, '-', '_' or '.'";
    case FieldType::VmName:
        return "1 to 63 letters, digits, '-' or '_'";
    case FieldType::Prefix:
        return "'/', or '/' and whole path segments without a '/' at the end, at most 512 bytes";
    case FieldType::Methods:
        return "list of different HTTP methods in capitals";
    case FieldType::Whole:
        return "whole number from " + numberText(spec.lowest) + " to " + numberText(spec.highest) + ", in " + std::string(spec.unit);
    case FieldType::Number:
        return "number from " + numberText(spec.lowest) + " to " + numberText(spec.highest) + ", in " + std::string(spec.unit);
    case FieldType::Flag:
        return "true or false";
    case FieldType::Choice:
        return "one of " + std::string(spec.choices);
    case FieldType::Map:
        return "map with " + fieldNames(spec.name);
    }
    return {};
}

std::string fieldNames(std::string_view group)
{
    std::string names;
    for (const FieldSpec &spec : fieldsOf(group)) {
        names += (names.empty() ? "" : ", ") + std::string(spec.name);
    }
    return names;
}

} // namespace Galenarack
