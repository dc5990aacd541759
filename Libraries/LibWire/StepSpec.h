#pragma once

#include <LibWire/ResourcesCodec.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Bergamot {

/// A step of a job: `count` tasks with the same requirements.
struct StepSpec {
    uint32_t count { 1 };

    /// Resources that each task reserves. A `bestEffort` task does not reserve processors; it uses those that other
    /// tasks leave idle.
    Resources size {};

    /// Estimated run time of one task.
    uint32_t estimateMs { 0 };

    /// Indexes of earlier steps, all tasks of which must complete before this step can start.
    std::vector<uint32_t> dependsOn {};

    /// All tasks of the step run at the same time or none does.
    bool gang { false };

    /// The tasks run slower when they are spread over several racks.
    bool prefersSameRack { false };

    /// Several runs of one task may be active; the first to complete determines the outcome of the task.
    bool speculative { false };
    bool checkpointing { false };

    /// Each task runs until the job is cancelled, and is restarted whenever it ends.
    bool longRunning { false };
    bool bestEffort { false };

    /// A label that the worker must have; empty means any worker.
    std::string requiredLabel {};

    /// Rack that stores the input data; the tasks run slower on other racks. Empty means no such rack.
    std::string dataRack {};

    /// Maximum number of tasks of this step on one worker; 0 means no limit.
    uint32_t maxPerWorker { 0 };

    /// Image of the tasks. Tasks of the same image are assumed to behave alike.
    std::string image {};

    /// Upper bound for the tail latency of a long-running task; 0 means no bound.
    uint32_t targetLatencyMs { 0 };

    /// Maximum number of tasks of a long-running step that actions of the system may make unavailable at the same time.
    uint32_t maxUnavailable { 0 };

    bool operator==(const StepSpec&) const = default;
    MSGPACK_DEFINE_ARRAY(count, size, estimateMs, dependsOn, gang, prefersSameRack, speculative, checkpointing,
        longRunning, bestEffort, requiredLabel, dataRack, maxPerWorker, image, targetLatencyMs, maxUnavailable)
};

}
