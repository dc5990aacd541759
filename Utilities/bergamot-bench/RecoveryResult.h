#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Bergamot {

/// Cost of a recovery. The times count from the election of the node; those not reached within the bound of a run are
/// empty.
struct RecoveryResult {
    uint64_t endedJobs { 0 };
    uint64_t liveJobs { 0 };

    /// Elections of the node during the run; more than one means that it lost its leadership.
    size_t elections { 0 };

    /// Largest resident size of the node's process (VmHWM) up to two seconds after the recovery.
    uint64_t peakBytes { 0 };

    /// Calls to the store and bytes of its replies, from the start of the process on.
    uint64_t storeCalls { 0 };
    uint64_t readBytes { 0 };

    /// Keys and values of the newest records in the store.
    uint64_t storedBytes { 0 };

    /// When the progress had been read. The records of the jobs follow.
    std::optional<Milliseconds> progressLoaded {};
    std::optional<Milliseconds> firstStart {};
    std::optional<Milliseconds> settled {};

    /// When all live jobs had been started.
    std::optional<Milliseconds> allStarted {};

    /// Running tasks of the earlier leader that were started again, because their leases had expired.
    size_t restartedTasks { 0 };

    bool operator==(const RecoveryResult&) const = default;
};

}
