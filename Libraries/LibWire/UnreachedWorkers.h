#pragma once

#include <LibWire/UnreachedWorker.h>
#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace Bergamot {

/// The workers that the leader of `epoch` and its predecessors have not reached. That leader stores a new record
/// without a worker before it renews the worker's lease. Only the next leader after it may rely on the workers that are
/// not doubtful: leaders of versions without this record renew leases without storing one.
struct UnreachedWorkers {
    uint64_t epoch { 0 };
    std::vector<UnreachedWorker> workers {};

    /// Number of workers on whose replies the earlier leaders count, of which those that are not doubtful here have
    /// been reached. 0 from versions without this field.
    uint64_t decidingWorkers { 0 };

    /// Epoch of the first leader that may still renew leases: that of the author once it has excluded all earlier ones;
    /// 0 if it is unknown. A record without doubtful workers may come from an author that has not excluded them.
    uint64_t oldestEpoch { 0 };

    bool operator==(const UnreachedWorkers&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch, workers, decidingWorkers, oldestEpoch)
};

}
