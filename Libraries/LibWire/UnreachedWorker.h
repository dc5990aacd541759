#pragma once

#include <LibWire/WorkerIncarnation.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// A worker whose lease no leader has renewed since the election of epoch `sinceEpoch`. With `doubtful`, earlier
/// leaders may still renew it, and count on the replies of such workers; a worker may have an entry of each kind.
struct UnreachedWorker {
    static constexpr uint64_t doubtful { 0 };

    WorkerIncarnation worker {};
    uint64_t sinceEpoch { 0 };

    bool isDoubtful() const { return sinceEpoch == doubtful; }
    bool operator==(const UnreachedWorker&) const = default;
    MSGPACK_DEFINE_ARRAY(worker, sinceEpoch)
};

}
