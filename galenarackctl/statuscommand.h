#pragma once

#include "command.h"

namespace Galenarack {

/// Prints the status of each node. Findings: a node that lags, is not ready, holds a section back or runs another fleet or digest.
ExitCode runStatus(const CommandContext &context);

} // namespace Galenarack
