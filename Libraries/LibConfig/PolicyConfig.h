#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Bergamot {

/// Settings of the scheduling and routing policies. Percentages are in [0, 100].
struct PolicyConfig {
    /// Share of a worker's processors and memory that batch work leaves free for load peaks of services.
    int64_t headroomPercent { 10 };
    /// Increase of a service's latency over its value on an unshared worker at which a co-location counts as
    /// interference.
    int64_t interferencePercent { 10 };
    /// Requests per service and entry host that may wait for a slot.
    int64_t queueLimit { 256 };
    /// A request that has waited longer than this for a slot is rejected.
    Milliseconds queueTimeout { 50 };
    /// Limit of the retries, as a share of the requests sent.
    int64_t retryBudgetPercent { 10 };
    /// Consecutive failed calls after which a worker gets no quick requests.
    int64_t outlierFailures { 5 };
    /// Time for which an ejected worker gets no quick requests.
    Milliseconds outlierEjectionTime { 10000 };
    /// Largest share of the workers that may be ejected at the same time.
    int64_t outlierMaxPercent { 20 };
    /// Distinct jobs that fail on one worker before it is quarantined.
    int64_t quarantineFailures { 3 };
    /// Interval between the probes of a quarantined worker.
    Milliseconds quarantineProbeInterval { 60000 };
    /// Time that an evicted task gets to write its checkpoint.
    Milliseconds checkpointTimeout { 10000 };
    /// Limit of the evictions per minute and region. Evictions because of a zone change do not count.
    int64_t evictionsPerMinute { 60 };
    /// Limit of the task starts per second and region while a zone or many workers recover.
    int64_t recoveryStartsPerSecond { 40 };
    /// Waiting time after which capacity is reserved for an urgent job.
    Milliseconds urgentReservationDelay { 2000 };
    /// Waiting time after which capacity is reserved for any other job that does not fit.
    Milliseconds batchReservationDelay { 600000 };
    /// Half-life of the weight of past resource usage in fair sharing.
    Milliseconds fairShareHalfLife { 3600000 };

    bool operator==(const PolicyConfig&) const = default;
};

}
