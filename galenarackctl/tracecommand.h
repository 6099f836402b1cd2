#pragma once

#include "command.h"

namespace Galenarack {

/// Prints the story of one request from logs of nodes: `trace ID FILE...`, a file "-" is standard input.
ExitCode runTrace(const CommandContext &context);

} // namespace Galenarack
