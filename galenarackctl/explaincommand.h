#pragma once

#include "command.h"

namespace Galenarack {

/// Prints what determines how each node handles a subject: `explain SUBJECT NAME [KEY=VALUE...]`. Findings: a node does not know
/// the subject.
ExitCode runExplain(const CommandContext &context);

} // namespace Galenarack
