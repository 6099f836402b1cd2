#include "outcomecommand.h"

#include "nodeclient.h"
#include "texttable.h"

#include <galenarack/core/ids.h>

#include <ostream>

namespace Galenarack {

ExitCode runOutcome(const CommandContext &context)
{
    if (context.arguments.size() != 1 || !RequestId::fromString(context.arguments.front())) {
        return usageError(context, "outcome needs one request id of 32 hexadecimal digits, as in the header Galenarack-Request-Id");
    }
    std::vector<NodeReply> replies;
    ExitCode code = queryConfiguredNodes(context, "/outcome/" + context.arguments.front(), replies);
    bool isDefinite = false;
    std::vector<std::vector<std::string>> rows;
    for (const NodeReply &reply : replies) {
        if (!reply.failure.empty()) {
            continue;
        }
        const std::string execution = memberText(reply.body, "execution");
        isDefinite |= reply.status == 200 && (execution == "ran" || execution == "not-run");
        rows.push_back(
            {reply.node, execution, memberText(reply.body, "state"), memberText(reply.body, "upstream"), memberText(reply.body, "detail")});
    }
    if (context.isJson && !replies.empty()) {
        printJson(context, replies);
    } else if (!rows.empty()) {
        printTable(context.out, {"NODE", "EXECUTION", "STATE", "UPSTREAM", "DETAIL"}, rows);
    }
    return moreSevere(code, isDefinite ? ExitCode::Ok : ExitCode::Findings);
}

} // namespace Galenarack
