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
struct ServiceWatch {
    KindIndex kind { 0 };
    uint32_t tasks { 0 };
    double load { 0.5 };
    double peakLoad { 0.5 };
    double smoothedRatio { 1.0 };
    uint32_t reportsOver { 0 };
    uint32_t reportsUnder { 0 };
    Instant actedAt { Milliseconds { -3'600'000 } };
};

/// Processors of one kind committed on a worker, in thousandths of a core, as expected from measured use.
struct KindLoad {
    KindIndex kind { 0 };
    uint32_t tasks { 0 };
    double cpuMillis { 0 };
    /// What throttling for services withholds from them; they will use it again.
    double withheldMillis { 0 };
};

/// Room that is kept for one job. A `firm` hold admits nobody else. Otherwise work that is expected to end before
/// `until` may use the room (backfill).
struct Hold {
    JobIndex job { noIndex };
    Resources size {};
    Instant until {};
    Instant since {};
    bool firm { false };
};

/// The tasks that ran from `since` on. Reports lag, so they are matched to an earlier composition.
struct Composition {
    Instant since {};
    std::vector<Neighbour> neighbours {};
};

struct WorkerRecord {
    WorkerView view {};
    bool present { false };
    ZoneIndex zone { 0 };
    RackIndex rack { 0 };
    bool quarantined { false };
    /// After quarantine one task at a time is placed until one completes.
    bool probation { false };
    JobIndex probationJob { noIndex };
    Instant coolUntil {};
    Resources committed {};
    double expectedCpu { 0 };
    /// A task here uses more than it declared; set by reports, looked at by the eviction policy.
    bool hasOverUse { false };
    std::vector<JobIndex> tasks {};
    std::vector<KindLoad> kinds {};
    std::vector<ServiceWatch> services {};
    std::vector<Hold> holds {};
    std::deque<Composition> history {};

    Resources free() const { return view.capacity - committed; }
};

}
