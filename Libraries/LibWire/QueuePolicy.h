#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// How the jobs of one queue are treated.
struct QueuePolicy {
    /// The service whose workers run the tasks.
    std::string service {};

    /// 0 comes first.
    uint32_t priority { 0 };

    /// Failed runs of one task after which the job has failed.
    uint32_t maxAttempts { 1 };

    /// A job is on time when it ends within `stretch` times its longest chain plus `targetLatencyMs`.
    double stretch { 1 };
    uint32_t targetLatencyMs { 0 };

    bool operator==(const QueuePolicy&) const = default;
    MSGPACK_DEFINE_ARRAY(service, priority, maxAttempts, stretch, targetLatencyMs)
};

}
