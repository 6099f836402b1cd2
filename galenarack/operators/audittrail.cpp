#include <galenarack/operators/audittrail.h>

#include <algorithm>

namespace Galenarack {

namespace {

/// Visitor that adds the members of a record to a JSON object.
struct RecordWriter
{
    nlohmann::ordered_json &out;

    static nlohmann::ordered_json sections(const std::vector<AuditSection> &sections)
    {
        nlohmann::ordered_json list = nlohmann::ordered_json::array();
        for (const AuditSection &section : sections) {
            list.push_back(
                {{"section", section.section}, {"owner", section.owner}, {"detail", section.detail}, {"held_back", section.heldBack}});
        }
        return list;
    }

    void operator()(const RevisionAccepted &record) const
    {
        this->out["revision"] = record.revision;
        this->out["previous"] = record.previous;
        this->out["digest"] = record.digest;
        this->out["source"] = record.source;
        this->out["changes"] = sections(record.changes);
    }
    void operator()(const RevisionRefused &record) const
    {
        this->out["revision"] = record.revision;
        this->out["in_force"] = record.inForce;
        this->out["error_kind"] = record.errorKind;
        this->out["source"] = record.source;
        this->out["errors"] = sections(record.errors);
    }
    void operator()(const UpstreamEjected &record) const
    {
        this->out["upstream"] = record.upstream;
        this->out["service"] = record.service;
        this->out["reason"] = record.reason;
        this->out["evidence"] = record.evidence;
        this->out["kept"] = record.kept;
        this->out["floor"] = record.floor;
        this->out["duration_ms"] = record.durationMs;
    }
    void operator()(const UpstreamReinstated &record) const
    {
        this->out["upstream"] = record.upstream;
        this->out["service"] = record.service;
        this->out["evidence"] = record.evidence;
    }
    void operator()(const DrainStarted &record) const
    {
        this->out["subject"] = record.subject;
        this->out["signal"] = record.signal;
        this->out["in_flight"] = record.inFlight;
    }
    void operator()(const FloorHit &record) const
    {
        this->out["service"] = record.service;
        this->out["upstream"] = record.upstream;
        this->out["failure_domain"] = record.failureDomain;
        this->out["kept"] = record.kept;
        this->out["floor"] = record.floor;
        this->out["evidence"] = record.evidence;
    }
    void operator()(const MembershipChanged &record) const
    {
        this->out["node"] = record.node;
        this->out["before"] = record.before;
        this->out["after"] = record.after;
        this->out["evidence"] = record.evidence;
    }
};

/// Kind names in the order of the variant's alternatives.
constexpr std::string_view kindNames[]
    = {"revision-accepted", "revision-refused", "ejection", "reinstatement", "drain", "floor-hit", "membership"};
static_assert(std::size(kindNames) == std::variant_size_v<AuditRecord>);

} // namespace

std::string_view auditKindName(const AuditRecord &record)
{
    return kindNames[record.index()];
}

nlohmann::ordered_json toJson(const AuditEntry &entry)
{
    nlohmann::ordered_json out;
    out["number"] = entry.number;
    out["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(entry.time.time_since_epoch()).count();
    out["kind"] = auditKindName(entry.record);
    std::visit(RecordWriter{out}, entry.record);
    return out;
}

void AuditTrail::append(AuditRecord record, std::chrono::system_clock::time_point time)
{
    this->entries.push_back(AuditEntry{++this->last, time, std::move(record)});
    if (this->entries.size() > capacity) {
        this->entries.pop_front();
    }
    const AuditEntry &entry = this->entries.back();
    const nlohmann::ordered_json object = toJson(entry);
    this->log.info(auditKindName(entry.record), {{"record", &object}});
}

std::vector<AuditEntry> AuditTrail::after(std::uint64_t number) const
{
    const auto first = std::ranges::upper_bound(this->entries, number, {}, &AuditEntry::number);
    return {first, this->entries.end()};
}

nlohmann::ordered_json AuditTrail::page(std::uint64_t number) const
{
    nlohmann::ordered_json records = nlohmann::ordered_json::array();
    for (const AuditEntry &entry : this->after(number)) {
        records.push_back(toJson(entry));
    }
    const std::uint64_t above = this->last - std::min(number, this->last);
    nlohmann::ordered_json out;
    out["last"] = this->last;
    out["missed"] = above - records.size();
    out["records"] = std::move(records);
    return out;
}

} // namespace Galenarack
