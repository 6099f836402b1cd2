#pragma once

#include "command.h"

namespace Galenarack {

/// Prints the manifest of the next revision and writes it with the section values to --output_dir, under the keys of the service:
/// "manifest" and "section/<digest>". Sections that the files do not hold stay as in --previous. Writes nothing when a node would
/// refuse the revision or hold back one of the changed sections.
ExitCode runManifest(const CommandContext &context);

} // namespace Galenarack
