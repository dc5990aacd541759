#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// One life of a worker.
struct WorkerLife {
    WorkerId id {};
    std::string address {};
    int64_t bornMs { 0 };

    bool operator==(const WorkerLife&) const = default;
    MSGPACK_DEFINE_ARRAY(id, address, bornMs)
};

}
