#pragma once

#include <LibWire/WorkerIncarnation.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// A worker whose lease no leader has renewed since the election of epoch `sinceEpoch`.
struct UnreachedWorker {
    WorkerIncarnation worker {};
    uint64_t sinceEpoch { 0 };

    bool operator==(const UnreachedWorker&) const = default;
    MSGPACK_DEFINE_ARRAY(worker, sinceEpoch)
};

}
