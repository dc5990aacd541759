#pragma once

#include <cstdint>

namespace Bergamot {

/// Injected fault of a worker's task starts: the worker rejects every start, or starts each task and lets it fail
/// shortly afterwards.
enum class StartFault : uint8_t { None, Refuse, Fail };

}
