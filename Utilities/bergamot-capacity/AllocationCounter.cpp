#include "AllocationCounter.h"
#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

static std::atomic<int64_t> allocatedByteCount { 0 };

// glibc stores a header of one word in front of each block.
static constexpr int64_t blockHeaderBytes = 8;

static int64_t blockBytes(void* block) { return static_cast<int64_t>(malloc_usable_size(block)) + blockHeaderBytes; }

void* operator new(size_t bytes)
{
    auto* block = std::malloc(bytes == 0 ? 1 : bytes);
    if (!block)
        throw std::bad_alloc();
    allocatedByteCount.fetch_add(blockBytes(block), std::memory_order_relaxed);
    return block;
}

void operator delete(void* block) noexcept
{
    if (!block)
        return;
    allocatedByteCount.fetch_sub(blockBytes(block), std::memory_order_relaxed);
    std::free(block);
}

void operator delete(void* block, size_t) noexcept { operator delete(block); }

namespace Bergamot {

int64_t allocatedBytes() { return allocatedByteCount.load(std::memory_order_relaxed); }

}
