#pragma once

#include "command.h"

namespace Galenarack {

/// Checks the sections in the files together. Prints all errors.
ExitCode runCheck(const CommandContext &context);

} // namespace Galenarack
