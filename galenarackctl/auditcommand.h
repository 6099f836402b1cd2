#pragma once

#include "command.h"

namespace Galenarack {

/// Prints the audit records of each node: `audit [AFTER]`. Findings: some records after number AFTER are no longer kept.
ExitCode runAudit(const CommandContext &context);

} // namespace Galenarack
