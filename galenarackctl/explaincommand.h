#pragma once

#include "command.h"

namespace Galenarack {

/// Prints why each node treats a subject as it does. Findings: a node does not know the subject.
ExitCode runExplain(const CommandContext &context);

} // namespace Galenarack
