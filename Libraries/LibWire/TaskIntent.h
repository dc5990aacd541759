#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// The leader commits resources of a worker to the next attempt of a job, before it sends the start request.
struct TaskIntent {
    uint64_t epoch { 0 };
    JobId job {};
    uint32_t attempt { 0 };
    WorkerId worker {};

    bool operator==(const TaskIntent&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch, job, attempt, worker)
};

}
