#include <galenarack/health/upstreamreport.h>

#include <algorithm>
#include <array>

namespace Galenarack {

namespace {

constexpr std::array<std::string_view, 5> healthStateNames = {"serving", "cold", "trial", "ejected", "leaving"};
constexpr std::array<std::string_view, 7> causeNames = {"none", "latency", "stall", "failure", "integrity", "flapping", "rule"};

template<typename Enumeration, std::size_t Size>
std::optional<Enumeration> fromName(const std::array<std::string_view, Size> &names, std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) {
        return std::nullopt;
    }
    return static_cast<Enumeration>(found - names.begin());
}

} // namespace

std::string_view healthStateName(HealthState healthState)
{
    return healthStateNames.at(static_cast<std::size_t>(healthState));
}

std::optional<HealthState> healthStateFromName(std::string_view name)
{
    return fromName<HealthState>(healthStateNames, name);
}

std::string_view causeName(HealthCause cause)
{
    return causeNames.at(static_cast<std::size_t>(cause));
}

std::optional<HealthCause> causeFromName(std::string_view name)
{
    return fromName<HealthCause>(causeNames, name);
}

} // namespace Galenarack
