#pragma once

#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// How an attempt ended. `Refused` means that the worker surely never started it.
enum class TaskOutcome : uint8_t { Completed, Failed, Evicted, Lost, Refused, Stopped };

}

MSGPACK_ADD_ENUM(Bergamot::TaskOutcome);
