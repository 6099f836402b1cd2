#pragma once

#include "command.h"

namespace Galenarack {

/// Prints the execution state of a request as reported by each node: `outcome ID`. Findings: no node reports whether it ran.
ExitCode runOutcome(const CommandContext &context);

} // namespace Galenarack
