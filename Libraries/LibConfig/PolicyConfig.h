#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Bergamot {

/// Settings of the decision policies. Percentages are in [0, 100].
struct PolicyConfig {
    /// Share of a worker's processors and memory that batch work leaves free for load peaks of services.
    int64_t headroomPercent { 10 };
    /// Rise of a service's latency over its unshared value at which a pairing counts as interference.
    int64_t interferencePercent { 10 };
    /// Requests per service and entry host that may wait for a slot.
    int64_t queueLimit { 256 };
    /// A request that has waited longer than this is refused.
    Milliseconds queueTimeout { 50 };
    /// Retries as a share of the requests sent.
    int64_t retryBudgetPercent { 10 };
    /// Consecutive failed calls after which a worker gets no quick requests.
    int64_t outlierFailures { 5 };
    Milliseconds outlierEjection { 10000 };
    /// Largest share of the workers that may be ejected at the same time.
    int64_t outlierMaxPercent { 20 };
    /// Distinct jobs that fail on one worker before it is quarantined.
    int64_t quarantineFailures { 3 };
    /// Interval between the probes of a quarantined worker.
    Milliseconds quarantineProbe { 60000 };
    /// Time that an evicted task gets to write its checkpoint.
    Milliseconds checkpointTimeout { 10000 };
    /// Evictions for each minute and region, zone changes excepted.
    int64_t evictionsPerMinute { 60 };
    /// Task starts per second for each region while a zone or many workers return.
    int64_t recoveryStartsPerSecond { 40 };
    /// Wait after which capacity is reserved for an urgent job.
    Milliseconds urgentReserve { 2000 };
    /// Wait after which capacity is reserved for any other job that does not fit.
    Milliseconds batchReserve { 600000 };
    /// Time in which past use loses half its weight in fair sharing.
    Milliseconds fairShareHalfLife { 3600000 };

    bool operator==(const PolicyConfig&) const = default;
};

}
