#pragma once

#include <LibWire/WorkerIncarnation.h>
#include <msgpack.hpp>
#include <vector>

namespace Bergamot {

/// All workers that leaders have given tasks to and that may still hold some. A leader records a worker here before its
/// first start there, so that its successor knows whom to ask.
struct AssignedWorkers {
    std::vector<WorkerIncarnation> workers {};

    bool operator==(const AssignedWorkers&) const = default;
    MSGPACK_DEFINE_ARRAY(workers)
};

}
