#pragma once

#include "command.h"

namespace Galenarack {

/// Prints the audit trail of each node. Findings: records above AFTER are no longer kept.
ExitCode runAudit(const CommandContext &context);

} // namespace Galenarack
