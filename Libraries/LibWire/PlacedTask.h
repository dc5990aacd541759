#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// A task of a job that may be active on one worker only, whichever incarnation of it.
struct PlacedTask {
    uint32_t occurrence { 0 };
    uint32_t step { 0 };
    uint32_t index { 0 };
    WorkerId worker {};

    bool operator==(const PlacedTask&) const = default;
    MSGPACK_DEFINE_ARRAY(occurrence, step, index, worker)
};

}
