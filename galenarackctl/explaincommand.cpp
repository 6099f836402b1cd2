#include "explaincommand.h"

#include "nodeclient.h"

#include <ostream>

namespace Galenarack {

namespace {

/// Prints the members of an object or array as indented lines, one value on each line.
void printLines(std::ostream &out, const nlohmann::ordered_json &value, std::size_t indent)
{
    for (const auto &[key, member] : value.items()) {
        out << std::string(indent, ' ') << (value.is_array() ? "-" : key + ":");
        if (member.is_structured() && !member.empty()) {
            out << '\n';
            printLines(out, member, indent + 2);
        } else {
            out << ' ' << cellText(member) << '\n';
        }
    }
}

} // namespace

ExitCode runExplain(const CommandContext &context)
{
    if (context.arguments.size() < 2) {
        return usageError(context, "explain needs SUBJECT and NAME, e.g. explain route /claims method=POST");
    }
    std::string_view name = context.arguments[1];
    name.remove_prefix(name.starts_with('/') ? 1 : 0);
    std::string target = "/explain/" + percentEncode(context.arguments[0]) + "/" + percentEncode(name);
    for (std::size_t i = 2; i < context.arguments.size(); ++i) {
        const std::string &parameter = context.arguments[i];
        const std::size_t equals = parameter.find('=');
        if (equals == std::string::npos) {
            return usageError(context, "'" + parameter + "' is not KEY=VALUE");
        }
        target += (i == 2 ? "?" : "&") + percentEncode(parameter.substr(0, equals)) + "=" + percentEncode(parameter.substr(equals + 1));
    }
    std::vector<NodeReply> replies;
    ExitCode code = queryConfiguredNodes(context, target, replies);
    for (const NodeReply &reply : replies) {
        if (!reply.failure.empty()) {
            continue;
        }
        code = moreSevere(code, reply.status == 200 ? ExitCode::Ok : ExitCode::Findings);
        if (!context.isJson) {
            context.out << reply.node << ":\n";
            printLines(context.out, reply.body, 2);
        }
    }
    if (context.isJson && !replies.empty()) {
        printJson(context, replies);
    }
    return code;
}

} // namespace Galenarack
