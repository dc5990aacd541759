#pragma once

#include <LibCore/Time.h>
#include <LibDecision/SchedulerTypes.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// Tells a job that can never run from a worker that fails everything.
///
/// A worker on which several distinct jobs fail in a row without a success is quarantined. It is released for a probe
/// of one task after a delay that doubles with each failed probe. A kind that fails on many workers is taken to be at
/// fault itself: alone it does not put a worker in quarantine. A worker on which several kinds fail does not make them
/// suspect.
class QuarantinePolicy {
public:
    /// What a failure means. `refunded` are the jobs whose failures on the worker were the worker's fault.
    struct Assessment {
        bool quarantine { false };
        std::vector<JobIndex> excusedJobs {};
    };

    void recordSuccess(WorkerIndex, KindIndex);
    Assessment recordFailure(WorkerIndex, KindIndex, JobIndex, Instant now);
    /// Workers whose quarantine ends now for a probe.
    std::vector<WorkerIndex> takeDueReleases(Instant now);
    void forgetWorker(WorkerIndex);
    /// Drops the job from the blame of all workers, when it has failed on several of them. The index may be used again.
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
