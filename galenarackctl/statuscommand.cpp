#include "statuscommand.h"

#include "nodeclient.h"
#include "texttable.h"

#include <galenarack/operators/nodestatus.h>

#include <algorithm>
#include <map>
#include <ostream>

namespace Galenarack {

namespace {

/// @return the number of members in each state, e.g. "10 live, 1 gone"
std::string memberCounts(const NodeStatus &status)
{
    std::map<std::string, unsigned> counts;
    for (const MemberStatus &member : status.members) {
        ++counts[member.state];
    }
    std::string text;
    for (const auto &[state, count] : counts) {
        text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + state;
    }
    return text;
}

std::string stateText(const NodeStatus &status)
{
    if (status.leaving) {
        return "leaving";
    }
    return status.readiness.ready ? "ready" : "not ready";
}

/// Lists the problems of a node that an operator should investigate.
/// @param highest highest revision that is in force on or known to any of the queried nodes
/// @param first node whose fleet and digest the others are expected to have
std::vector<std::string> findingsOf(const NodeStatus &status, std::uint64_t highest, const NodeStatus &first)
{
    std::vector<std::string> findings;
    if (status.fleet != first.fleet) {
        findings.push_back("fleet '" + status.fleet + "' differs from '" + first.fleet + "'");
    }
    if (!status.readiness.ready) {
        findings.push_back("not ready: " + status.readiness.reason);
    }
    if (status.revision < highest) {
        findings.push_back("lags: revision " + std::to_string(status.revision) + " in force, " + std::to_string(highest) + " known");
    }
    if (status.revision == first.revision && status.digest != first.digest) {
        findings.push_back("digest differs from " + first.node + " at the same revision");
    }
    for (const HeldBackSection &section : status.heldBack) {
        findings.push_back("section " + section.section + " of " + section.owner + " is held back: " + section.reason);
    }
    return findings;
}

} // namespace

ExitCode runStatus(const CommandContext &context)
{
    if (!context.arguments.empty()) {
        return usageError(context, "status takes no arguments");
    }
    std::vector<NodeReply> replies;
    ExitCode code = queryConfiguredNodes(context, "/status", replies);
    std::vector<NodeStatus> nodes;
    for (const NodeReply &reply : replies) {
        if (!reply.failure.empty()) {
            continue;
        }
        auto status = nodeStatusFromJson(reply.body);
        if (reply.status != 200 || !status.ok()) {
            context.err << "galenarackctl: " << reply.node << ": response is not a status: " << cellText(reply.body) << '\n';
            code = moreSevere(code, ExitCode::NoAnswer);
            continue;
        }
        nodes.push_back(std::move(*status));
    }
    std::uint64_t highest = 0;
    for (const NodeStatus &status : nodes) {
        highest = std::max({highest, status.revision, status.heardRevision});
    }
    std::vector<std::vector<std::string>> rows;
    std::vector<std::string> lines;
    for (const NodeStatus &status : nodes) {
        rows.push_back({status.node,
                        status.address,
                        status.failureDomain,
                        stateText(status),
                        std::to_string(status.revision),
                        memberCounts(status),
                        std::to_string(status.inFlight),
                        std::to_string(status.homeInFlight),
                        std::to_string(status.ledgerEntries),
                        std::to_string(status.upMs / 1000) + " s"});
        for (const std::string &finding : findingsOf(status, highest, nodes.front())) {
            lines.push_back(status.node + ": " + finding);
            code = moreSevere(code, ExitCode::Findings);
        }
    }
    if (context.isJson && !replies.empty()) {
        printJson(context, replies);
    } else if (!rows.empty()) {
        printTable(context.out,
                   {"NODE", "ADDRESS", "DOMAIN", "STATE", "REVISION", "MEMBERS", "IN FLIGHT", "HOME IN FLIGHT", "LEDGER", "UP"},
                   rows);
    }
    for (const std::string &line : lines) {
        (context.isJson ? context.err : context.out) << line << '\n';
    }
    return code;
}

} // namespace Galenarack
