#include "checkcommand.h"

#include "documentfiles.h"

#include <ostream>

namespace Galenarack {

ExitCode runCheck(const CommandContext &context)
{
    if (context.arguments.empty()) {
        return usageError(context, "check needs at least one file");
    }
    const auto sections = readSections(context.arguments);
    if (!sections.ok()) {
        return usageError(context, std::string(sections.status().message()));
    }
    const std::vector<Finding> findings = checkSections(*sections);
    printFindings(context.out, context.isJson, findings, *sections);
    if (findings.empty()) {
        if (!context.isJson) {
            context.out << "ok: " << sections->size() << " sections\n";
        }
        return ExitCode::Ok;
    }
    return ExitCode::Findings;
}

} // namespace Galenarack
