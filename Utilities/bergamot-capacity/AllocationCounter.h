#pragma once

#include <cstdint>

namespace Bergamot {

/// Bytes that the program holds from `operator new`, with the rounding of the allocator. The counter replaces the
/// global operators of this program.
int64_t allocatedBytes();

}
