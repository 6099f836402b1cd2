#include <galenarack/core/allocator.h>

#include <malloc.h>

namespace Galenarack {

namespace {

/// Smallest block that is mapped by itself, in bytes. Messages of ordinary size stay below it, since each mapping costs system calls.
constexpr int largeBlockBytes = 1024 * 1024;

} // namespace

void returnLargeBlocks()
{
    // Setting the threshold also stops its adjustment.
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
}

} // namespace Galenarack
