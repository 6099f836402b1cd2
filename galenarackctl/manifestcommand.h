#pragma once

#include "command.h"

namespace Galenarack {

/// Prints the manifest of the next revision, and writes it and the section values to --output_dir under the keys of the
/// configuration service: "manifest" and "section/<digest>". Sections that are not in the files are kept as in --previous. Writes
/// nothing if a node would refuse the revision or hold back a changed section.
ExitCode runManifest(const CommandContext &context);

} // namespace Galenarack
