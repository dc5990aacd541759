#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Bergamot {

/// One life of a worker.
struct WorkerLife {
    WorkerId id {};
    std::string address {};
    int64_t bornMs { 0 };

    bool operator==(const WorkerLife&) const = default;
    MSGPACK_DEFINE_ARRAY(id, address, bornMs)
};

/// All workers that leaders have given tasks to and that may still hold some. A leader records a worker here before its
/// first start there, so that its successor knows whom to ask.
struct WorkerRoster {
    std::vector<WorkerLife> workers {};

    bool operator==(const WorkerRoster&) const = default;
    MSGPACK_DEFINE_ARRAY(workers)
};

}
