#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// Operators started or ended the drain of a worker.
struct HostChanged {
    WorkerId worker {};
    bool draining { false };

    bool operator==(const HostChanged&) const = default;
    MSGPACK_DEFINE_ARRAY(worker, draining)
};

}
