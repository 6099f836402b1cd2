#include "command.h"

#include "checkcommand.h"
#include "diffcommand.h"
#include "manifestcommand.h"

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
    };
    return commands;
}

ExitCode usageError(const CommandContext &context, std::string_view message)
{
    context.err << "galenarackctl: " << message << '\n';
    return ExitCode::Usage;
}

} // namespace Galenarack
