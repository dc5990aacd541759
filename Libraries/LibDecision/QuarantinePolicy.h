#pragma once

#include <LibCore/Time.h>
#include <LibDecision/SchedulerTypes.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// Distinguishes jobs that can never succeed from workers on which every job fails.
///
/// A worker on which several distinct jobs fail in a row without a success is quarantined. It is released for a probe
/// of one task after a delay that doubles with each failed probe. A kind that fails on many workers is considered
/// faulty itself, and its failures alone do not quarantine a worker. Failures on a worker on which several kinds fail
/// do not count against these kinds.
class QuarantinePolicy {
public:
    /// Consequences of a failure. `excusedJobs` are the jobs whose failures on the worker are attributed to the
    /// worker.
    struct Assessment {
        bool quarantine { false };
        std::vector<JobIndex> excusedJobs {};
    };

    void recordSuccess(WorkerIndex, KindIndex);
    Assessment recordFailure(WorkerIndex, KindIndex, JobIndex, Instant now);
    /// Ends the quarantines that are due at `now` and returns their workers, which are then on probation.
    std::vector<WorkerIndex> takeDueReleases(Instant now);
    void forgetWorker(WorkerIndex);
    /// Removes the failures of the job from the histories of all workers, because it has failed on several of them or
    /// because its index may be reused.
    void removeFailuresOfJob(JobIndex);

    bool isKindSuspect(KindIndex) const;

private:
    struct Failure {
        JobIndex job { noIndex };
        KindIndex kind { 0 };
    };
    struct WorkerHistory {
        std::vector<Failure> consecutiveFailures {};
        bool quarantined { false };
        bool isOnProbation { false };
        Instant releaseAt {};
        Milliseconds delay {};
    };
    struct Outcome {
        WorkerIndex worker { noIndex };
        bool failed { false };
    };
    struct KindHistory {
        std::vector<Outcome> recent {};
        size_t next { 0 };
    };

    void record(KindIndex, Outcome);
    WorkerHistory& historyOf(WorkerIndex);
    static bool hasFailuresOfSeveralKinds(const WorkerHistory&);

    std::vector<WorkerHistory> m_workers;
    std::vector<KindHistory> m_kinds;
};

}
