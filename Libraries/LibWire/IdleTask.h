#pragma once

#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// A task of a job that runs nowhere, and of which no start can be on its way to a worker.
struct IdleTask {
    uint32_t occurrence { 0 };
    uint32_t step { 0 };
    uint32_t index { 0 };

    bool operator==(const IdleTask&) const = default;
    MSGPACK_DEFINE_ARRAY(occurrence, step, index)
};

}
