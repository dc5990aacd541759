#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// A start that a leader has sent to an incarnation of a worker without getting a reply.
struct UnansweredStart {
    /// Epoch of the leader that sent it.
    uint64_t epoch { 0 };
    WorkerId worker {};
    int64_t workerStartedAtMs { 0 };
    JobId job {};
    uint32_t occurrence { 0 };
    uint32_t step { 0 };
    uint32_t index { 0 };
    uint64_t run { 0 };

    bool operator==(const UnansweredStart&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch, worker, workerStartedAtMs, job, occurrence, step, index, run)
};

}
