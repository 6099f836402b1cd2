#pragma once

#include "command.h"

namespace Galenarack {

/// Prints what each node knows about a request's execution. Findings: no node knows a definite outcome.
ExitCode runOutcome(const CommandContext &context);

} // namespace Galenarack
