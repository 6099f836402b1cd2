#pragma once

#include "command.h"

namespace Galenarack {

/// Prints the status of each node. Findings: a node has an older revision than others know of, is not ready, holds a section back,
/// or differs from the first node in fleet or digest.
ExitCode runStatus(const CommandContext &context);

} // namespace Galenarack
