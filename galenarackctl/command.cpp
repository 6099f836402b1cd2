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

#include <array>
#include <ostream>

namespace Galenarack {

std::span<const Command> commandTable()
{
    static constexpr std::array commands = {
        Command{"check", "FILE...", "check the sections in the files and print all errors", &runCheck},
        Command{"diff", "OLD NEW", "print what differs between two documents (a file or a folder each)", &runDiff},
        Command{
            "manifest",
            "FILE...",
            "write the values of the sections and the manifest, to be published (--revision, --previous, --fleet, --remove, --output_dir)",
            &runManifest},
        Command{"status", "", "print revision, readiness and members of each node (--nodes)", &runStatus},
        Command{"upstreams", "[SERVICE]", "print the upstreams as each node sees them (--nodes)", &runUpstreams},
        Command{"explain",
                "SUBJECT NAME [KEY=VALUE...]",
                "print why a node treats a route, upstream, service or account as it does (--nodes)",
                &runExplain},
        Command{"outcome", "ID", "print what each node knows about the execution of a request (--nodes)", &runOutcome},
        Command{"trace", "ID FILE...", "print the story of a request and its cause from logs of nodes; - is standard input", &runTrace},
        Command{"audit", "[AFTER]", "print the audit trail of each node, records above AFTER (--nodes)", &runAudit},
    };
    return commands;
}

ExitCode usageError(const CommandContext &context, std::string_view message)
{
    context.err << "galenarackctl: " << message << '\n';
    return ExitCode::Usage;
}

} // namespace Galenarack
