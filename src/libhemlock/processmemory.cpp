#include "processmemory.h"

#include <malloc.h>

namespace hemlock {

namespace {

/// Larger blocks are mapped one by one. Setting the value keeps glibc from raising it.
constexpr int mappedBlockBytes = 64 * 1024;

/// Free memory at the end of the heap that is not returned.
constexpr int keptHeapBytes = 1024 * 1024;

} // namespace

void returnFreedMemory()
{
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, keptHeapBytes);
}

} // namespace hemlock
