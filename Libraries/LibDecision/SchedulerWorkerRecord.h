#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <LibDecision/SchedulerTypes.h>
#include <LibDecision/WorkerView.h>
#include <cstdint>
#include <deque>
#include <vector>

namespace Bergamot {

/// What is known about one service kind on one worker.
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

/// Processors of one kind committed on a worker, in thousandths of a core, as expected from measured use.
struct KindCpuUsage {
    KindIndex kind { 0 };
    uint32_t tasks { 0 };
    double cpuMillis { 0 };
    /// What throttling for services withholds from them; they will use it again.
    double throttledCpuMillis { 0 };
};

/// Room that is kept for one job. A `firm` hold admits nobody else. Otherwise work that is expected to end before
/// `until` may use the room (backfill).
struct Reservation {
    JobIndex job { noIndex };
    Resources size {};
    Instant expectedStart {};
    Instant createdAt {};
    bool isExclusive { false };
};

/// The tasks that ran from `since` on. Reports lag, so they are matched to an earlier composition.
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
    /// After quarantine one task at a time is placed until one completes.
    bool isOnProbation { false };
    JobIndex probationJob { noIndex };
    Instant backoffUntil {};
    Resources committed {};
    double expectedCpuMillis { 0 };
    /// A task here uses more than it declared; set by reports, looked at by the eviction policy.
    bool hasOveruse { false };
    std::vector<JobIndex> tasks {};
    std::vector<KindCpuUsage> kinds {};
    std::vector<ServiceStats> services {};
    std::vector<Reservation> reservations {};
    std::deque<ColocationSnapshot> snapshots {};

    Resources free() const { return view.capacity - committed; }
};

}
