#pragma once

#include "command.h"

namespace Galenarack {

/// Prints the upstreams as each node sees them, of one service when named. Findings: one that is neither serving nor leaving.
ExitCode runUpstreams(const CommandContext &context);

} // namespace Galenarack
