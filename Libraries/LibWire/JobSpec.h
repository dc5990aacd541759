#pragma once

#include <LibCore/Ids.h>
#include <LibWire/QueuePolicy.h>
#include <LibWire/StepSpec.h>
#include <absl/status/status.h>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Bergamot {

/// A job as it was accepted.
struct JobSpec {
    JobId id {};

    /// The queue (a route of the configuration) that accepted the job.
    std::string queue {};

    /// Passed unchanged to each task.
    std::string payload {};
    std::vector<StepSpec> steps {};

    /// Number of occurrences; each runs all steps once. 0 means one occurrence without a due time.
    uint32_t repeats { 0 };

    /// Unix time at which the first occurrence is due, and the interval between two occurrences.
    int64_t firstDueMs { 0 };
    int64_t intervalMs { 0 };

    /// Unix time at which an entry host accepted the job.
    int64_t acceptedAtMs { 0 };

    /// Policy of the queue when it accepted the job; it applies after the queue is removed from the configuration.
    std::optional<QueuePolicy> policyAtAcceptance {};

    /// Version of the configuration that `policyAtAcceptance` comes from; 0 if unknown.
    uint64_t configVersionAtAcceptance { 0 };

    /// Returns InvalidArgument when a leader cannot hold or start the job: a value beyond the limits in JobLimits.h, or
    /// text that cannot be sent to a worker.
    absl::Status check() const;

    /// The part of check() that covers the steps and the due times.
    absl::Status checkWork() const;

    bool operator==(const JobSpec&) const = default;
    MSGPACK_DEFINE_ARRAY(id, queue, payload, steps, repeats, firstDueMs, intervalMs, acceptedAtMs, policyAtAcceptance,
        configVersionAtAcceptance)
};

}
