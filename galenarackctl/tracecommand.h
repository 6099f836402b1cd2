#pragma once

#include "command.h"

namespace Galenarack {

/// Prints the log lines of one request in causal order, and the cause of its outcome: `trace ID FILE...`. The file "-" is
/// standard input. Findings: no line has the request id.
ExitCode runTrace(const CommandContext &context);

} // namespace Galenarack
