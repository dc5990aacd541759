#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <LibDecision/AttemptOutcome.h>
#include <LibDecision/Decision.h>
#include <LibDecision/JobView.h>
#include <LibDecision/KindView.h>
#include <LibDecision/SchedulerOptions.h>
#include <LibDecision/SlowdownEstimator.h>
#include <LibDecision/TeamView.h>
#include <LibDecision/UsageSample.h>
#include <LibDecision/WaitReason.h>
#include <LibDecision/WorkerView.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Bergamot {

/// Batch scheduling and placement policy of one region. The class reads no clock and performs no I/O: the caller
/// passes it events in log order and carries out the decisions that tick() returns.
///
/// Each event returns a status. A rejected event leaves the state unchanged: unknown ids give NOT_FOUND, malformed
/// values INVALID_ARGUMENT, repeated definitions of a job ALREADY_EXISTS, and events that do not match the state
/// (repeated, out of order, beyond capacity) FAILED_PRECONDITION.
///
/// An event takes place at the time of the latest tick(), so the caller calls tick() before each batch of events and
/// at least once per second.
class BatchScheduler {
public:
    /// Uses an InterferenceModel with default options if no estimator is passed.
    static absl::StatusOr<std::unique_ptr<BatchScheduler>> create(
        const SchedulerOptions&, std::unique_ptr<SlowdownEstimator> = nullptr);
    ~BatchScheduler();

    /// Adds a worker or replaces its description.
    absl::Status upsertWorker(const WorkerView&);
    /// Fails with FAILED_PRECONDITION while attempts are committed to the worker; the caller ends them first.
    absl::Status removeWorker(const WorkerId&);
    /// A zone may be taken out of service before any of its workers is known.
    absl::Status setZoneOut(const ZoneId&, bool out);
    /// Kinds and teams can be redefined with changed values.
    absl::Status defineKind(const KindView&);
    absl::Status defineTeam(const TeamView&);

    absl::Status submitJob(const JobView&);
    /// A job without an attempt is removed immediately. A placed job is evicted and removed when its attempt ends.
    absl::Status cancelJob(const JobId&);
    /// Removes a job whose final outcome the caller has recorded, for instance after a FailJob decision.
    absl::Status jobEnded(const JobId&);

    /// Confirms a PlaceTask decision, or reports a placement made by an earlier leader. Attempt numbers start at 1
    /// and increase by 1.
    absl::Status taskPlaced(const JobId&, uint32_t attempt, const WorkerId&);
    /// Reports that the caller did not carry out the PlaceTask decision for this job.
    absl::Status placementDropped(const JobId&);
    absl::Status taskRevoking(const JobId&, uint32_t attempt);
    absl::Status taskEnded(const JobId&, uint32_t attempt, AttemptOutcome, const WorkerId&);

    /// Reports the measured resource usage of tasks on a worker. Samples of attempts that are not running on the
    /// worker are ignored, because reports lag. A malformed value causes the whole report to be rejected.
    absl::Status reportUsage(const WorkerId&, const std::vector<UsageSample>&);
    /// Reports the latency of the service kind on this worker, as a ratio to its latency when running alone at the
    /// same `load` (0 to 1 of the service's own capacity).
    absl::Status reportLatency(const std::string& serviceKind, const WorkerId&, double load, double latencyRatio);

    /// Advances the time to `now` and returns the scheduling decisions. Fails with INVALID_ARGUMENT if `now` lies
    /// before the latest tick. An eviction or FailJob decision that the caller does not confirm is repeated after
    /// SchedulerOptions::decisionRetryInterval.
    absl::StatusOr<std::vector<Decision>> tick(Instant now);

    /// Returns why the job is pending, or its state if it is not; at least one entry.
    absl::StatusOr<std::vector<WaitReason>> whyWaiting(const JobId&) const;

    /// Index that identifies the kind in calls to a SlowdownEstimator.
    absl::StatusOr<KindIndex> kindIndex(const std::string& kind) const;
    size_t pendingJobs() const;
    /// Estimated bytes of decision state held in memory.
    size_t stateBytes() const;

private:
    class Impl;
    explicit BatchScheduler(std::unique_ptr<Impl>);

    std::unique_ptr<Impl> m_impl;
};

}
