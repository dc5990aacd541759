#pragma once

#include <cstdint>

namespace Bergamot {

/// Bytes currently allocated through `operator new`, including the overhead and rounding of the allocator. The program
/// replaces the global operators to count them.
int64_t allocatedBytes();

}
