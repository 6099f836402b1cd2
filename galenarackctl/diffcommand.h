#pragma once

#include "command.h"

namespace Galenarack {

/// Prints the differences between two documents, each a file or a folder: `diff OLD NEW`. Findings: the documents differ.
ExitCode runDiff(const CommandContext &context);

} // namespace Galenarack
