#include "command.h"

#include "auditcommand.h"
#include "checkcommand.h"
#include "diffcommand.h"
#include "explaincommand.h"
#include "manifestcommand.h"
#include "outcomecommand.h"
#include "statuscommand.h"
#include "tracecommand.h"
#include "upstreamscommand.h"

#include <algorithm>
#include <array>
#include <ostream>

namespace Galenarack {

namespace {

constexpr std::array<std::string_view, 1> nodeFlags = {"nodes"};
constexpr std::array<std::string_view, 5> manifestFlags = {"revision", "previous", "fleet", "remove", "output_dir"};

} // namespace

std::span<const Command> commandTable()
{
    static constexpr std::array commands = {
        Command{"check", "FILE...", "check the sections in the files and print all errors", {}, &runCheck},
        Command{"diff", "OLD NEW", "print the differences between two documents (each a file or a folder)", {}, &runDiff},
        Command{"manifest",
                "FILE...",
                "write the section values and the manifest of the next revision for publication (--revision, --previous, --fleet, "
                "--remove, --output_dir)",
                manifestFlags,
                &runManifest},
        Command{"status", "", "print the revision, readiness and members of each node (--nodes)", nodeFlags, &runStatus},
        Command{"upstreams", "[SERVICE]", "print the state of the upstreams as reported by each node (--nodes)", nodeFlags, &runUpstreams},
        Command{"explain",
                "SUBJECT NAME [KEY=VALUE...]",
                "print what determines how each node handles a route, upstream, service or account (--nodes)",
                nodeFlags,
                &runExplain},
        Command{"outcome", "ID", "print the execution state of a request as reported by each node (--nodes)", nodeFlags, &runOutcome},
        Command{"trace",
                "ID FILE...",
                "print the log lines of a request in causal order and the cause of its outcome, from logs of nodes; - is standard input",
                {},
                &runTrace},
        Command{
            "audit", "[AFTER]", "print the audit records of each node with a number greater than AFTER (--nodes)", nodeFlags, &runAudit},
    };
    return commands;
}

std::string_view findForeignFlag(const Command &command, std::span<const std::string> givenFlags)
{
    const auto uses = [](const Command &candidate, std::string_view flag) {
        return std::ranges::find(candidate.flags, flag) != candidate.flags.end();
    };
    const auto foreign = std::ranges::find_if(givenFlags, [&command, &uses](std::string_view flag) {
        return !uses(command, flag) && std::ranges::any_of(commandTable(), [&flag, &uses](const Command &other) {
            return uses(other, flag);
        });
    });
    return foreign == givenFlags.end() ? std::string_view() : *foreign;
}

ExitCode usageError(const CommandContext &context, std::string_view message)
{
    context.err << "galenarackctl: " << message << '\n';
    return ExitCode::Usage;
}

} // namespace Galenarack
