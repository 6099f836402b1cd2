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
        Command{"diff", "OLD NEW", "print the differences between two documents (each a file or a folder)", &runDiff},
        Command{"manifest",
                "FILE...",
                "write the section values and the manifest of the next revision for publication (--revision, --previous, --fleet, "
                "--remove, --output_dir)",
                &runManifest},
        Command{"status", "", "print the revision, readiness and members of each node (--nodes)", &runStatus},
        Command{"upstreams", "[SERVICE]", "print the state of the upstreams as reported by each node (--nodes)", &runUpstreams},
        Command{"explain",
                "SUBJECT NAME [KEY=VALUE...]",
                "print what determines how each node handles a route, upstream, service or account (--nodes)",
                &runExplain},
        Command{"outcome", "ID", "print the execution state of a request as reported by each node (--nodes)", &runOutcome},
        Command{"trace",
                "ID FILE...",
                "print the log lines of a request in causal order and the cause of its outcome, from logs of nodes; - is standard input",
                &runTrace},
        Command{"audit", "[AFTER]", "print the audit records of each node with a number greater than AFTER (--nodes)", &runAudit},
    };
    return commands;
}

ExitCode usageError(const CommandContext &context, std::string_view message)
{
    context.err << "galenarackctl: " << message << '\n';
    return ExitCode::Usage;
}

} // namespace Galenarack
