#pragma once

#include "command.h"

namespace Galenarack {

/// Checks the sections of the files as one document and prints all errors: `check FILE...`.
ExitCode runCheck(const CommandContext &context);

} // namespace Galenarack
