#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// Scheduling policy for the jobs of one queue.
struct QueuePolicy {
    /// The service whose workers run the tasks.
    std::string service {};

    /// Scheduling priority of the jobs; 0 is the highest.
    uint32_t priority { 0 };

    /// Number of failed runs of one task after which the job fails.
    uint32_t maxAttempts { 1 };

    /// A job is on time when it ends within `stretch` times the estimated run time of its longest chain of dependent
    /// steps, plus `targetLatencyMs`, after it was accepted.
    double stretch { 1 };
    uint32_t targetLatencyMs { 0 };

    bool operator==(const QueuePolicy&) const = default;
    MSGPACK_DEFINE_ARRAY(service, priority, maxAttempts, stretch, targetLatencyMs)
};

}
