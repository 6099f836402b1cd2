#include <galenarack/operators/nodestatus.h>

#include <galenarack/core/errorkind.h>

namespace Galenarack {

namespace {

/// Calls `visitor(key, member)` for each member of the struct. Writer and reader share these tables, so that they cannot differ.
template<typename Visitor, typename Member>
void visitMembers(Member &value, const Visitor &visitor) requires std::is_same_v<std::remove_const_t<Member>, Readiness>
{
    visitor("ready", value.ready);
    visitor("reason", value.reason);
}

template<typename Visitor, typename Member>
void visitMembers(Member &value, const Visitor &visitor) requires std::is_same_v<std::remove_const_t<Member>, HeldBackSection>
{
    visitor("section", value.section);
    visitor("owner", value.owner);
    visitor("reason", value.reason);
}

template<typename Visitor, typename Member>
void visitMembers(Member &value, const Visitor &visitor) requires std::is_same_v<std::remove_const_t<Member>, MemberStatus>
{
    visitor("name", value.name);
    visitor("address", value.address);
    visitor("failure_domain", value.failureDomain);
    visitor("state", value.state);
    visitor("incarnation", value.incarnation);
    visitor("revision", value.revision);
    visitor("heard_ms_ago", value.heardMsAgo);
    visitor("suspected", value.suspected);
}

template<typename Visitor, typename Member>
void visitMembers(Member &value, const Visitor &visitor) requires std::is_same_v<std::remove_const_t<Member>, NodeStatus>
{
    visitor("fleet", value.fleet);
    visitor("node", value.node);
    visitor("address", value.address);
    visitor("failure_domain", value.failureDomain);
    visitor("incarnation", value.incarnation);
    visitor("readiness", value.readiness);
    visitor("leaving", value.leaving);
    visitor("revision", value.revision);
    visitor("heard_revision", value.heardRevision);
    visitor("digest", value.digest);
    visitor("service_silent_ms", value.serviceSilentMs);
    visitor("up_ms", value.upMs);
    visitor("in_flight", value.inFlight);
    visitor("home_in_flight", value.homeInFlight);
    visitor("ledger_entries", value.ledgerEntries);
    visitor("held_back", value.heldBack);
    visitor("members", value.members);
}

template<typename Visitor, typename Member>
void visitMembers(Member &value, const Visitor &visitor) requires std::is_same_v<std::remove_const_t<Member>, UpstreamStatus>
{
    visitor("name", value.name);
    visitor("service", value.service);
    visitor("vm", value.vm);
    visitor("failure_domain", value.failureDomain);
    visitor("state", value.state);
    visitor("reason", value.reason);
    visitor("home", value.home);
    visitor("weight", value.weight);
    visitor("in_flight", value.inFlight);
    visitor("queued", value.queued);
    visitor("slots", value.slots);
    visitor("latency_us", value.latencyUs);
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

/// @throws nlohmann::json::exception when a member has the wrong type
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
        return makeError(ErrorKind::InvalidRequest, "the reply is not a JSON object");
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
