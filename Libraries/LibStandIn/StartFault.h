#pragma once

#include <cstdint>

namespace Bergamot {

/// What a faulty worker does with every start: refuses it, or starts it and lets it fail soon after.
enum class StartFault : uint8_t { None, Refuse, Fail };

}
