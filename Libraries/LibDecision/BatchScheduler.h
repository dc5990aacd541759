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

/// The batch and placement policy of one region. Pure: it reads no clock and does no input or output. The caller feeds
/// it events in log order and performs the decisions of tick().
///
/// Every input returns a status. An input that is refused changes nothing: unknown ids are NOT_FOUND, malformed values
/// INVALID_ARGUMENT, repeated definitions of a job ALREADY_EXISTS, and events that do not match the state (repeated,
/// out of order, beyond capacity) FAILED_PRECONDITION.
///
/// Events happen at the time of the latest tick(), so tick() is called before a batch of events and at least each
/// second.
class BatchScheduler {
public:
    /// Without an estimator the scheduler learns with an InterferenceModel of default options.
    static absl::StatusOr<std::unique_ptr<BatchScheduler>> create(
        const SchedulerOptions&, std::unique_ptr<SlowdownEstimator> = nullptr);
    ~BatchScheduler();

    /// Adds a worker or replaces its description.
    absl::Status upsertWorker(const WorkerView&);
    /// Refused while attempts are committed to the worker; the caller ends them first.
    absl::Status removeWorker(const WorkerId&);
    /// A zone may be taken out before any of its workers is known.
    absl::Status setZoneOut(const ZoneId&, bool out);
    /// Kinds and teams can be defined again with changed values.
    absl::Status defineKind(const KindView&);
    absl::Status defineTeam(const TeamView&);

    absl::Status submitJob(const JobView&);
    /// A job that has no attempt is forgotten at once. A placed one is evicted, then forgotten when its attempt ends.
    absl::Status cancelJob(const JobId&);
    /// The job has its final outcome in the caller's state, for instance after FailJob was recorded.
    absl::Status jobEnded(const JobId&);

    /// Confirms a PlaceTask decision, or reports one made by an earlier leader. Attempts start at 1 and grow by 1.
    absl::Status taskPlaced(const JobId&, uint32_t attempt, const WorkerId&);
    /// The caller did not carry out the PlaceTask decision for this job.
    absl::Status placementDropped(const JobId&);
    absl::Status taskRevoking(const JobId&, uint32_t attempt);
    absl::Status taskEnded(const JobId&, uint32_t attempt, AttemptOutcome, const WorkerId&);

    /// Measured use of tasks on a worker. Samples of attempts that are not running there are ignored, because reports
    /// lag; malformed values refuse the whole report.
    absl::Status reportUsage(const WorkerId&, const std::vector<UsageSample>&);
    /// Latency of the service kind on this worker as a ratio to running alone at the same `load` (0 to 1 of the
    /// service's own capacity).
    absl::Status reportLatency(const std::string& serviceKind, const WorkerId&, double load, double latencyRatio);

    /// Advances time and decides. Fails with INVALID_ARGUMENT when `now` lies before the latest tick. An eviction or
    /// FailJob that the caller does not confirm is decided again after SchedulerOptions::decisionRetryInterval.
    absl::StatusOr<std::vector<Decision>> tick(Instant now);

    /// Why the job is not placed; one entry at least.
    absl::StatusOr<std::vector<WaitReason>> whyWaiting(const JobId&) const;

    /// The number by which a SlowdownEstimator sees the kind.
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
