#pragma once

#include <LibWire/ResourcesCodec.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Bergamot {

/// A step of a job: `count` tasks of the same shape.
struct StepSpec {
    uint32_t count { 1 };

    /// What each task reserves. With `bestEffort` the processors are not reserved: the task uses what others leave
    /// idle.
    Resources size {};

    /// Rough run time of one task.
    uint32_t estimateMs { 0 };

    /// Positions of earlier steps whose tasks must all be done first.
    std::vector<uint32_t> dependsOn {};

    /// All tasks run together or not at all.
    bool gang { false };

    /// The tasks run slower when they are spread over several racks.
    bool prefersSameRack { false };

    /// Several runs of one task may be active; the first that completes counts.
    bool speculative { false };
    bool checkpointing { false };

    /// Runs until the job is cancelled, and is restarted whenever it ends.
    bool longRunning { false };
    bool bestEffort { false };

    /// A label that the worker must have; empty means any worker.
    std::string requiredLabel {};

    /// The rack that holds the data; on other racks the tasks run slower. Empty means none.
    std::string dataRack {};

    /// Tasks of this step that may run on one worker; 0 means no limit.
    uint32_t maxPerWorker { 0 };

    /// Tasks of the same image behave alike.
    std::string image {};

    /// Tail latency that a long-running task must stay below; 0 means none.
    uint32_t targetLatencyMs { 0 };

    /// Tasks of a long-running step that may be unavailable at once through actions of the system.
    uint32_t maxUnavailable { 0 };

    bool operator==(const StepSpec&) const = default;
    MSGPACK_DEFINE_ARRAY(count, size, estimateMs, dependsOn, gang, prefersSameRack, speculative, checkpointing,
        longRunning, bestEffort, requiredLabel, dataRack, maxPerWorker, image, targetLatencyMs, maxUnavailable)
};

}
