#pragma once

#include "command.h"

namespace Galenarack {

/// Compares two documents, each a file or a folder. ExitCode::Findings means that they differ.
ExitCode runDiff(const CommandContext &context);

} // namespace Galenarack
