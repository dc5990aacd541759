#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// Stops or resumes placement on a worker whose tasks fail. Valid only from the current leader.
struct WorkerQuarantined {
    uint64_t epoch { 0 };
    WorkerId worker {};
    bool quarantined { false };

    bool operator==(const WorkerQuarantined&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch, worker, quarantined)
};

}
