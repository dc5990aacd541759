#pragma once

#include <LibCore/Ids.h>
#include <LibWire/QueuePolicy.h>
#include <LibWire/StepSpec.h>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Bergamot {

/// A job of steps as it was accepted.
struct JobSpec {
    JobId id {};

    /// The queue (a route of the configuration) that took the job.
    std::string queue {};

    /// Passed to each task as it is.
    std::string payload {};
    std::vector<StepSpec> steps {};

    /// Times the steps run. 0 means once, without a due time.
    uint32_t repeats { 0 };

    /// Unix time of the first occurrence and the time between two occurrences.
    int64_t firstDueMs { 0 };
    int64_t intervalMs { 0 };

    /// Unix time at which an entry host accepted the job.
    int64_t acceptedAtMs { 0 };

    /// How the queue treated jobs when it took this one; for the time after the queue has left the configuration.
    std::optional<QueuePolicy> policyAtAcceptance {};

    bool operator==(const JobSpec&) const = default;
    MSGPACK_DEFINE_ARRAY(id, queue, payload, steps, repeats, firstDueMs, intervalMs, acceptedAtMs, policyAtAcceptance)
};

}
