#pragma once

#include <cstdint>

namespace Bergamot {

enum class HostState : uint8_t { Live, Leaving, Gone };

}
