#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// An operator started or ended the drain of a worker.
struct WorkerDrainChanged {
    WorkerId worker {};
    bool draining { false };

    bool operator==(const WorkerDrainChanged&) const = default;
    MSGPACK_DEFINE_ARRAY(worker, draining)
};

}
