#pragma once

#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

enum class RevokeReason : uint8_t { Eviction, ZoneOut, Cancelled, WorkerLost, HostDrain, Superseded };

}

MSGPACK_ADD_ENUM(Bergamot::RevokeReason);
