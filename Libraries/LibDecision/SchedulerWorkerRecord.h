#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <LibDecision/SchedulerTypes.h>
#include <LibDecision/WorkerView.h>
#include <cstdint>
#include <deque>
#include <vector>

namespace Bergamot {

/// Load and latency of one service kind on one worker.
struct ServiceStats {
    KindIndex kind { 0 };
    uint32_t tasks { 0 };
    double load { 0.5 };
    double peakLoad { 0.5 };
    double smoothedRatio { 1.0 };
    uint32_t reportsOverLimit { 0 };
    uint32_t reportsUnderBudget { 0 };
    Instant lastActionAt { Milliseconds { -3'600'000 } };
};

/// Expected processor usage of the tasks of one kind on a worker, in thousandths of a core, based on measurements.
struct KindCpuUsage {
    KindIndex kind { 0 };
    uint32_t tasks { 0 };
    double cpuMillis { 0 };
    /// Processor usage that throttling in favour of services withholds from the tasks; they use it again once the
    /// throttle is lifted.
    double throttledCpuMillis { 0 };
};

/// Resources of a worker that are reserved for one job. If `isExclusive` is set, no other job may use them. Otherwise,
/// urgent jobs and jobs that are expected to end before `expectedStart` may use them (backfill).
struct Reservation {
    JobIndex job { noIndex };
    Resources size {};
    Instant expectedStart {};
    Instant createdAt {};
    bool isExclusive { false };
};

/// Kinds that ran together on a worker from `since` until the next snapshot. Reports lag, so each report is matched
/// to an earlier snapshot.
struct ColocationSnapshot {
    Instant since {};
    std::vector<Neighbour> neighbours {};
};

struct SchedulerWorkerRecord {
    WorkerView view {};
    bool isPresent { false };
    ZoneIndex zone { 0 };
    RackIndex rack { 0 };
    bool quarantined { false };
    /// After a quarantine, one task at a time is placed until one completes.
    bool isOnProbation { false };
    JobIndex probationJob { noIndex };
    Instant backoffUntil {};
    Resources committed {};
    double expectedCpuMillis { 0 };
    /// Set when usage reports show that a task on the worker uses more than it declared; evaluated by EvictionPolicy.
    bool hasOveruse { false };
    std::vector<JobIndex> tasks {};
    std::vector<KindCpuUsage> kinds {};
    std::vector<ServiceStats> services {};
    std::vector<Reservation> reservations {};
    std::deque<ColocationSnapshot> snapshots {};

    Resources free() const { return view.capacity - committed; }
};

}
