#pragma once

#include <LibCore/Ids.h>
#include <LibWire/ResourcesCodec.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// A worker as described by the platform's host list. Valid only from the current leader.
struct WorkerListed {
    uint64_t epoch { 0 };
    WorkerId worker {};
    std::string address {};
    ZoneId zone {};
    std::string rack {};
    Resources capacity {};
    bool leaving { false };
    bool gone { false };

    bool operator==(const WorkerListed&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch, worker, address, zone, rack, capacity, leaving, gone)
};

}
