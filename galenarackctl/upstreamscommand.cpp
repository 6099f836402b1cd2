#include "upstreamscommand.h"

#include "nodeclient.h"
#include "texttable.h"

#include <galenarack/operators/nodestatus.h>

#include <ostream>

namespace Galenarack {

namespace {

/// Parses the upstreams of one reply.
/// @return false when the reply is not a valid list of upstreams
bool readUpstreams(const NodeReply &reply, std::vector<UpstreamStatus> &upstreams)
{
    if (reply.status != 200 || !reply.body.is_object() || !reply.body.contains("upstreams")) {
        return false;
    }
    for (const auto &element : reply.body["upstreams"]) {
        auto upstream = upstreamStatusFromJson(element);
        if (!upstream.ok()) {
            return false;
        }
        upstreams.push_back(std::move(*upstream));
    }
    return true;
}

std::vector<std::string> rowOf(const std::string &node, const UpstreamStatus &upstream)
{
    return {node,
            upstream.name,
            upstream.service,
            upstream.vm,
            upstream.failureDomain,
            upstream.home ? "home" : "",
            upstream.state,
            std::to_string(upstream.inFlight) + "/" + std::to_string(upstream.slots),
            std::to_string(upstream.queued),
            upstream.latencyUs < 0 ? "" : std::to_string(upstream.latencyUs) + " us",
            upstream.reason};
}

} // namespace

ExitCode runUpstreams(const CommandContext &context)
{
    if (context.arguments.size() > 1) {
        return usageError(context, "upstreams takes at most one service");
    }
    std::vector<NodeReply> replies;
    ExitCode code = queryConfiguredNodes(context, "/upstreams", replies);
    std::vector<std::vector<std::string>> rows;
    for (const NodeReply &reply : replies) {
        std::vector<UpstreamStatus> upstreams;
        if (reply.failure.empty() && !readUpstreams(reply, upstreams)) {
            context.err << "galenarackctl: " << reply.node << ": response is not a list of upstreams: " << cellText(reply.body) << '\n';
            code = moreSevere(code, ExitCode::NoAnswer);
        }
        for (const UpstreamStatus &upstream : upstreams) {
            if (!context.arguments.empty() && upstream.service != context.arguments.front()) {
                continue;
            }
            rows.push_back(rowOf(reply.node, upstream));
            const bool isExpected = upstream.state == "serving" || upstream.state == "leaving" || upstream.state == "cold";
            code = moreSevere(code, isExpected ? ExitCode::Ok : ExitCode::Findings);
        }
    }
    if (context.isJson && !replies.empty()) {
        printJson(context, replies);
    } else if (!rows.empty()) {
        printTable(
            context.out, {"NODE", "UPSTREAM", "SERVICE", "VM", "DOMAIN", "HOME", "STATE", "SLOTS", "QUEUED", "LATENCY", "REASON"}, rows);
    } else if (code == ExitCode::Ok) {
        context.out << "no upstreams\n";
    }
    return code;
}

} // namespace Galenarack
