#include <galenarack/operators/nodestatus.h>

#include <galenarack/core/errorkind.h>

namespace Galenarack {

namespace {

/// Calls `row(key, member)` for each member of the struct; writer and reader share one table, so they cannot differ.
template<typename Row, typename Member>
void visitMembers(Member &value, const Row &row) requires std::is_same_v<std::remove_const_t<Member>, Readiness>
{
    row("ready", value.ready);
    row("reason", value.reason);
}

template<typename Row, typename Member>
void visitMembers(Member &value, const Row &row) requires std::is_same_v<std::remove_const_t<Member>, HeldBackSection>
{
    row("section", value.section);
    row("owner", value.owner);
    row("reason", value.reason);
}

template<typename Row, typename Member>
void visitMembers(Member &value, const Row &row) requires std::is_same_v<std::remove_const_t<Member>, MemberStatus>
{
    row("name", value.name);
    row("address", value.address);
    row("failure_domain", value.failureDomain);
    row("state", value.state);
    row("incarnation", value.incarnation);
    row("revision", value.revision);
    row("heard_ms_ago", value.heardMsAgo);
    row("suspected", value.suspected);
}

template<typename Row, typename Member>
void visitMembers(Member &value, const Row &row) requires std::is_same_v<std::remove_const_t<Member>, NodeStatus>
{
    row("fleet", value.fleet);
    row("node", value.node);
    row("address", value.address);
    row("failure_domain", value.failureDomain);
    row("incarnation", value.incarnation);
    row("readiness", value.readiness);
    row("leaving", value.leaving);
    row("revision", value.revision);
    row("heard_revision", value.heardRevision);
    row("digest", value.digest);
    row("service_silent_ms", value.serviceSilentMs);
    row("up_ms", value.upMs);
    row("in_flight", value.inFlight);
    row("home_in_flight", value.homeInFlight);
    row("ledger_entries", value.ledgerEntries);
    row("held_back", value.heldBack);
    row("members", value.members);
}

template<typename Row, typename Member>
void visitMembers(Member &value, const Row &row) requires std::is_same_v<std::remove_const_t<Member>, UpstreamStatus>
{
    row("name", value.name);
    row("service", value.service);
    row("vm", value.vm);
    row("failure_domain", value.failureDomain);
    row("state", value.state);
    row("reason", value.reason);
    row("home", value.home);
    row("weight", value.weight);
    row("in_flight", value.inFlight);
    row("queued", value.queued);
    row("slots", value.slots);
    row("latency_us", value.latencyUs);
}

template<typename Value>
concept HasMembers = std::is_class_v<Value> && !std::is_same_v<Value, std::string> && !requires(Value value)
{
    value.push_back({});
};

template<typename Value>
nlohmann::ordered_json write(const Value &value)
{
    nlohmann::ordered_json out;
    if constexpr (HasMembers<Value>) {
        visitMembers(value, [&out](const char *key, const auto &member) {
            out[key] = write(member);
        });
    } else if constexpr (std::is_class_v<Value> && !std::is_same_v<Value, std::string>) {
        out = nlohmann::ordered_json::array();
        for (const auto &element : value) {
            out.push_back(write(element));
        }
    } else {
        out = value;
    }
    return out;
}

/// @throws nlohmann::json::exception when the type differs
template<typename Value>
void read(const nlohmann::json &from, Value &value)
{
    if constexpr (HasMembers<Value>) {
        visitMembers(value, [&from](const char *key, auto &member) {
            if (from.contains(key)) {
                read(from.at(key), member);
            }
        });
    } else if constexpr (std::is_class_v<Value> && !std::is_same_v<Value, std::string>) {
        for (const nlohmann::json &element : from) {
            read(element, value.emplace_back());
        }
    } else {
        from.get_to(value);
    }
}

template<typename Value>
absl::StatusOr<Value> readChecked(const nlohmann::json &from)
{
    if (!from.is_object()) {
        return makeError(ErrorKind::InvalidRequest, "the reply is no JSON object");
    }
    Value value;
    try {
        read(from, value);
    } catch (const nlohmann::json::exception &error) {
        return makeError(ErrorKind::InvalidRequest, error.what());
    }
    return value;
}

} // namespace

nlohmann::ordered_json toJson(const NodeStatus &status)
{
    return write(status);
}

nlohmann::ordered_json toJson(const UpstreamStatus &status)
{
    return write(status);
}

absl::StatusOr<NodeStatus> nodeStatusFromJson(const nlohmann::json &value)
{
    return readChecked<NodeStatus>(value);
}

absl::StatusOr<UpstreamStatus> upstreamStatusFromJson(const nlohmann::json &value)
{
    return readChecked<UpstreamStatus>(value);
}

} // namespace Galenarack
