#pragma once

#include <LibDecision/BatchQueue.h>
#include <LibDecision/BatchScheduler.h>
#include <LibDecision/EvictionPolicy.h>
#include <LibDecision/Placement.h>
#include <LibDecision/QuarantinePolicy.h>
#include <LibDecision/ReservationPlanner.h>
#include <LibDecision/RestartRateLimiter.h>
#include <LibDecision/RunTimeEstimator.h>
#include <LibDecision/SchedulerState.h>
#include <LibDecision/ZonePolicy.h>
#include <deque>
#include <random>

namespace Bergamot {

/// Combines the scheduling policies. BatchSchedulerImpl.cpp implements the events, BatchSchedulerTick.cpp the
/// decisions.
class BatchScheduler::Impl {
public:
    Impl(const SchedulerOptions&, std::unique_ptr<SlowdownEstimator>);

    absl::Status upsertWorker(const WorkerView&);
    absl::Status removeWorker(const WorkerId&);
    absl::Status setZoneOut(const ZoneId&, bool out);
    absl::Status defineKind(const KindView&);
    absl::Status defineTeam(const TeamView&);
    absl::Status submitJob(const JobView&);
    absl::Status cancelJob(const JobId&);
    absl::Status jobEnded(const JobId&);
    absl::Status taskPlaced(const JobId&, uint32_t attempt, const WorkerId&);
    absl::Status placementDropped(const JobId&);
    absl::Status taskRevoking(const JobId&, uint32_t attempt);
    absl::Status taskEnded(const JobId&, uint32_t attempt, AttemptOutcome, const WorkerId&);
    absl::Status reportUsage(const WorkerId&, const std::vector<UsageSample>&);
    absl::Status reportLatency(const std::string& serviceKind, const WorkerId&, double load, double ratio);
    absl::StatusOr<std::vector<Decision>> tick(Instant now);
    absl::StatusOr<std::vector<WaitReason>> whyWaiting(const JobId&) const;
    absl::StatusOr<KindIndex> kindIndex(const std::string&) const;
    size_t pendingJobs() const { return m_queue.size(); }
    size_t stateBytes() const;

private:
    /// Kind, size and run time of a job for which no worker was found in this tick. Jobs of the same kind that need
    /// at least as much are not tried again in this tick.
    struct UnplaceableShape {
        KindIndex kind { 0 };
        Resources size {};
        Milliseconds run {};
    };
    enum class PlacementResult : uint8_t { Placed, InsufficientResources, Skipped };

    absl::StatusOr<JobIndex> findJob(const JobId&) const;
    absl::StatusOr<WorkerIndex> findWorker(const WorkerId&) const;
    void updateCapacity();
    void queueMigrations(WorkerIndex);
    void enqueue(JobIndex);
    void dequeue(JobIndex);
    size_t laneOf(const JobRecord&) const;
    void requeue(JobIndex, Instant retryAt);
    void removeJob(JobIndex);
    void recordOutcome(JobIndex, WorkerIndex, AttemptOutcome);
    void recordFailure(JobIndex, WorkerIndex);
    bool giveUpAfterCrashes(JobIndex);
    void giveUpSubmittedJobs();
    void markFailed(JobIndex, std::string reason);
    bool hasUntriedWorker(const JobRecord&) const;

    void runTimers();
    void releaseQuarantines();
    void retryEvictions();
    void cancelTasks();
    void migrateTasks();
    bool migrateTask(JobIndex);
    void evictOvercommitted();
    void protectServices();
    /// Places the jobs of the urgent lane or the service lane and preempts other tasks where resources are
    /// insufficient.
    void placeLane(size_t lane);
    void preemptFor(JobIndex);
    void placeTeams(bool borrowing);
    void placeReserved();
    PlacementResult tryPlace(JobIndex);
    void place(JobIndex, WorkerIndex);
    void reserve(JobIndex);
    void reclaimReservation(JobIndex);
    void evict(JobIndex, EvictReason);
    void emitFailures();
    bool isKnownUnplaceable(const JobRecord&, Milliseconds run) const;
    bool hasPlacementsLeft() const { return m_placements < m_options.maxPlacementsPerTick; }
    std::optional<WorkerIndex> explore(PlacementQuery);
    PlacementQuery queryFor(JobIndex) const;
    Milliseconds runEstimate(const JobRecord&) const;

    SchedulerOptions m_options;
    SchedulerState m_state;
    std::unique_ptr<SlowdownEstimator> m_estimator;
    RunTimeEstimator m_runTimes;
    ZonePolicy m_zonePolicy;
    Placement m_placement;
    ReservationPlanner m_reservationPlanner;
    EvictionPolicy m_evictionPolicy;
    BatchQueue m_queue;
    QuarantinePolicy m_quarantinePolicy;
    RestartRateLimiter m_restartLimiter;
    std::mt19937_64 m_random;
    Instant m_now {};
    bool m_hasTicked { false };
    Instant m_lastEvictionPlanAt {};
    Instant m_lastExplorationAt {};

    // Work lists. Entries may be stale and are checked against m_state when they are processed.
    std::deque<JobIndex> m_cancelled;
    std::vector<JobIndex> m_migrations;
    std::vector<JobIndex> m_pendingEvictions;
    std::vector<JobIndex> m_failed;
    std::vector<JobIndex> m_submittedWithCrashes;
    std::vector<JobIndex> m_reservedJobs;
    std::vector<Decision> m_pendingDecisions;

    // Reset at the start of each tick.
    std::vector<Decision> m_decisions;
    std::vector<UnplaceableShape> m_unplaceableShapes;
    size_t m_placements { 0 };
    size_t m_evictions { 0 };
    size_t m_failedPlacements { 0 };
    size_t m_reservationPlans { 0 };
};

}
