#include "upstreamsettings.h"

#include <stdexcept>

namespace Galenarack::StandIns {

namespace {

/// Calls `visit(name, member)` for every member of the settings.
template<typename Settings, typename Visitor>
void visitMembers(Settings &settings, Visitor visit)
{
    visit("slots", settings.slots);
    visit("base_delay_ms", settings.baseDelayMs);
    visit("delay_spread", settings.delaySpread);
    visit("response_bytes", settings.responseBytes);
    visit("echo", settings.echo);
    visit("draining", settings.draining);
    visit("slow_factor", settings.slowFactor);
    visit("slow_path", settings.slowPath);
    visit("hang", settings.hang);
    visit("error_share", settings.errorShare);
    visit("wrong_share", settings.wrongShare);
    visit("truncated_share", settings.truncatedShare);
    visit("overlong_share", settings.overlongShare);
    visit("shed_share", settings.shedShare);
    visit("stuck_slots", settings.stuckSlots);
    visit("flap_period_ms", settings.flapPeriodMs);
    visit("cold_ms", settings.coldMs);
    visit("cold_factor", settings.coldFactor);
}

} // namespace

void applyChange(UpstreamSettings &settings, const nlohmann::json &change)
{
    UpstreamSettings changed = settings;
    std::size_t known = 0;
    visitMembers(changed, [&change, &known](const char *name, auto &member) {
        if (change.contains(name)) {
            change.at(name).get_to(member);
            ++known;
        }
    });
    if (known != change.size()) {
        throw std::invalid_argument("unknown setting in " + change.dump());
    }
    settings = std::move(changed);
}

nlohmann::json toJson(const UpstreamSettings &settings)
{
    nlohmann::json json;
    visitMembers(settings, [&json](const char *name, const auto &member) {
        json[name] = member;
    });
    return json;
}

UpstreamSettings withoutFaults(UpstreamSettings settings)
{
    const UpstreamSettings healthy;
    settings.slowFactor = healthy.slowFactor;
    settings.hang = healthy.hang;
    settings.errorShare = healthy.errorShare;
    settings.wrongShare = healthy.wrongShare;
    settings.truncatedShare = healthy.truncatedShare;
    settings.overlongShare = healthy.overlongShare;
    settings.shedShare = healthy.shedShare;
    settings.stuckSlots = healthy.stuckSlots;
    return settings;
}

} // namespace Galenarack::StandIns
