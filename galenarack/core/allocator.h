#pragma once

namespace Galenarack {

/// Makes the allocator map each large block by itself and return it to the system when it is freed. Call it once, before the first large
/// allocation.
///
/// By default, the allocator of the C library stops doing so for blocks of up to 32 MB once one of that size has been freed. Later blocks
/// then come from the heap, where a freed one counts towards the memory of the process as long as any block above it is in use.
void returnLargeBlocks();

} // namespace Galenarack
