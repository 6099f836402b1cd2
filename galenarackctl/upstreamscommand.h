#pragma once

#include "command.h"

namespace Galenarack {

/// Prints the upstreams as reported by each node: `upstreams [SERVICE]`. Findings: an upstream is not serving, cold or leaving.
ExitCode runUpstreams(const CommandContext &context);

} // namespace Galenarack
