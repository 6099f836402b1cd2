#include "auditcommand.h"

#include "nodeclient.h"
#include "texttable.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <ostream>

namespace Galenarack {

namespace {

/// @return milliseconds since the Unix epoch as UTC time in the format of RFC 3339
std::string timeText(std::int64_t milliseconds)
{
    const std::time_t seconds = milliseconds / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), length};
}

/// @return the members of a record that have no column of their own
std::string detailText(const nlohmann::ordered_json &record)
{
    std::string text;
    for (const auto &[key, value] : record.items()) {
        const bool isColumn = key == "number" || key == "time_ms" || key == "kind";
        const std::string cell = isColumn ? std::string() : cellText(value);
        if (!cell.empty()) {
            text.append(text.empty() ? "" : ", ").append(key).append(" ").append(cell);
        }
    }
    return text;
}

bool isAuditPage(const NodeReply &reply)
{
    return reply.status == 200 && reply.body.is_object() && reply.body.contains("records") && reply.body["records"].is_array();
}

} // namespace

ExitCode runAudit(const CommandContext &context)
{
    const std::string after = context.arguments.empty() ? "0" : context.arguments.front();
    const bool isNumber = !after.empty() && after.find_first_not_of("0123456789") == std::string::npos;
    if (context.arguments.size() > 1 || !isNumber) {
        return usageError(context, "audit takes at most one argument, a record number");
    }
    std::vector<NodeReply> replies;
    ExitCode code = queryConfiguredNodes(context, "/audit?after=" + after, replies);
    std::vector<std::vector<std::string>> rows;
    for (const NodeReply &reply : replies) {
        if (!reply.failure.empty()) {
            continue;
        }
        if (!isAuditPage(reply)) {
            context.err << "galenarackctl: " << reply.node << ": response is not an audit trail: " << cellText(reply.body) << '\n';
            code = moreSevere(code, ExitCode::NoAnswer);
            continue;
        }
        const std::int64_t missed = memberNumber(reply.body, "missed");
        if (missed > 0) {
            context.err << "galenarackctl: " << reply.node << ": " << missed << " records are no longer kept; see the node's log\n";
            code = moreSevere(code, ExitCode::Findings);
        }
        for (const auto &record : reply.body["records"]) {
            const std::string time = timeText(memberNumber(record, "time_ms"));
            rows.push_back({time, reply.node, memberText(record, "number"), memberText(record, "kind"), detailText(record)});
        }
    }
    std::ranges::stable_sort(rows, {}, [](const auto &row) {
        return row.front();
    });
    if (context.isJson && !replies.empty()) {
        printJson(context, replies);
    } else if (!rows.empty()) {
        printTable(context.out, {"TIME", "NODE", "NUMBER", "KIND", "RECORD"}, rows);
    }
    return code;
}

} // namespace Galenarack
