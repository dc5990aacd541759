#pragma once

#include <LibDecision/JobTimeline.h>
#include <LibDecision/PressureModel.h>
#include <LibDecision/RunEnd.h>
#include <LibDecision/RunReport.h>
#include <LibDecision/StepWait.h>
#include <LibDecision/TaskAction.h>
#include <LibDecision/TaskRef.h>
#include <LibDecision/TaskWorkerView.h>
#include <LibDecision/TrackedJob.h>
#include <LibWire/QueuePolicy.h>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace Bergamot {

/// Decides for one leader which task runs where. Events go in, orders to workers come out of plan(). Holds no clock and
/// does no input or output.
class TaskScheduler {
public:
    struct Options {
        /// Leader epoch; run numbers of a later epoch are higher.
        uint64_t epoch { 0 };
    };

    /// Why a worker did not start a run.
    enum class StartRefusal : uint8_t {
        /// The worker has no room for it.
        InsufficientResources,
        /// A run with this number or a higher one was stopped or ended there.
        Superseded,
        /// The worker is unhealthy, or the lease had lapsed on arrival.
        NotStarted
    };

    explicit TaskScheduler(Options);
    ~TaskScheduler();

    void setQueues(std::map<std::string, QueuePolicy>);
    void setZonesOut(std::set<ZoneId>);

    /// Returns false when the job is known already. Until `blockedUntil`, tasks are not started, because an earlier
    /// leader may have started them.
    bool addJob(JobSpec, std::optional<JobProgress> stored, Instant blockedUntil);

    /// Returns nothing for an unknown job. A job that has ended keeps its state.
    std::optional<JobStage> cancelJob(const JobId&);

    /// The state to show to callers.
    std::optional<JobStage> stateOf(const JobId&) const;

    /// Nothing for an unknown job. Steps that an earlier leader saw end are left out.
    std::optional<JobTimeline> timelineOf(const JobId&) const;

    /// Jobs of the queue that have not started and have no due time.
    uint32_t pendingJobs(const std::string& queue) const;
    size_t jobCount() const { return m_jobs.size(); }

    void updateWorker(WorkerHandle, const TaskWorkerView&);

    /// No new run goes to a worker that does not answer.
    void setReachable(WorkerHandle, bool reachable);

    /// All runs of the worker are proven to be over, and the worker is forgotten.
    void removeWorker(WorkerHandle, Instant now);

    /// All runs of the worker are proven to be over.
    void markRunsLost(WorkerHandle, Instant now);

    /// The worker answered a start or a stop of the run: from now on its list decides whether the run exists.
    void commandAccepted(WorkerHandle, const TaskRef&, uint64_t run, Instant now);
    void startRefused(WorkerHandle, const TaskRef&, uint64_t run, StartRefusal, Instant now);
    void runEnded(WorkerHandle, const RunEnd&, Instant now);

    /// The complete list of runs on a worker; `requestSentAt` is when the question was sent. The list of a new leader's
    /// first question brings runs of earlier leaders.
    void runsReported(WorkerHandle, const std::vector<RunReport>&, Instant requestSentAt, Instant now);

    /// Tasks that no worker has listed may be started again, because all workers have answered the new leader.
    void unblockTasks();

    /// Orders that follow from all events so far. Without `mayStart` no task is started; stops and changes of pace are
    /// harmless in the name of a leader that has been replaced, because workers refuse them.
    std::vector<TaskAction> plan(Instant now, int64_t unixMs, bool mayStart = true);

    /// What changed since the last call and must be stored.
    std::vector<JobProgress> takeChangedJobs();
    void progressStored(const JobProgress&);

    /// Frees what is kept of the tasks of a job whose end is stored; its state stays known. Does nothing while a run
    /// may be active; the job is then freed when its last run is over.
    void releaseDetails(const JobId&);

    /// What has been learned of interference.
    PressureRecord savePressures() const { return m_pressure.save(); }
    void restorePressures(const PressureRecord& record) { m_pressure.restore(record); }

    struct Totals {
        uint32_t waitingTasks { 0 };
        uint32_t activeRuns { 0 };
    };
    Totals totals() const;

    /// Steps whose tasks last and have waited for at least `least`, the longest wait first; `most` at most.
    std::vector<StepWait> longRunningStepWaits(Instant now, Milliseconds minWait, size_t maxCount) const;

    /// Processors that are free on usable workers, and those that are kept free for short tasks.
    int64_t freeCpuMillis() const { return m_freeCpuMillis; }
    int64_t headroomCpuMillis() const { return static_cast<int64_t>(m_shortTaskDemandMillis) - m_shortTaskCpuMillis; }

private:
    struct WorkerEntry;
    using StepKey = std::tuple<uint32_t, int64_t, uint64_t>;
    struct ReadyStep {
        TrackedJob* job { nullptr };
        uint32_t occurrence { 0 };
        uint32_t step { 0 };
    };

    TrackedJob* findJob(const JobId&);
    const QueuePolicy& policyOf(const TrackedJob&) const;
    void enforceMaxAttempts(TrackedJob&, const TrackedTask&);
    void enforceMaxAttemptsOfAllTasks(TrackedJob&);
    TrackedTask* findTask(TrackedJob&, const TaskRef&);
    TrackedRun* findRun(TrackedTask&, uint64_t run);
    void buildOccurrences(TrackedJob&);
    void applyStored(TrackedJob&, const JobProgress&);
    void activateOccurrence(TrackedJob&, uint32_t occurrence);
    void makeStepReady(TrackedJob&, uint32_t occurrence, uint32_t step);
    void requeue(TrackedJob&, const TaskRef&);
    void enqueue(TrackedJob&, const TaskRef&);
    void completeTask(TrackedJob&, const TaskRef&, TrackedTask&);
    void completeStep(TrackedJob&, uint32_t occurrence, uint32_t step);
    void finishJob(TrackedJob&, JobStage);
    void stopOtherRuns(const TaskRef&, TrackedTask&);
    void dropRun(TrackedJob&, const TaskRef&, TrackedTask&, uint64_t run);
    void releaseDetailsIfInactive(TrackedJob&);
    void markChanged(const TrackedJob&);
    static void updateCheckpoint(TrackedJob&, const TaskRef&, TrackedTask&, const std::string& checkpoint);
    bool adoptListedRun(WorkerEntry&, const RunReport&, Instant now);
    void dropUnlistedRuns(WorkerEntry&, Instant requestSentAt);
    void adoptRun(WorkerHandle, TrackedJob&, TrackedTask&, const RunReport&, Instant now);
    void updateRun(TrackedJob&, TrackedTask&, TrackedRun&, const RunReport&, Instant now);
    void requestStop(WorkerHandle, const TaskRef&, uint64_t run, Instant now);
    void activateDueOccurrences(int64_t unixMs);
    void placeWaitingTasks(Instant now);
    void collectCandidates(Instant now);
    void updateShortTaskDemand();
    bool isUsable(const WorkerEntry&, Instant now) const;
    bool leavesHeadroom(const StepSpec&) const;
    bool mustWaitForHeadroom(const StepSpec&, const TrackedTask&, Instant now) const;
    bool placeStep(const ReadyStep&, Instant now);
    static void setWaitingSince(TrackedStep&, Instant now);
    WorkerEntry* chooseWorker(
        const TrackedJob&, const ReadyStep&, const TrackedTask&, const std::string& rack, Instant now);
    void requeueGang(TrackedJob&, const TaskRef&);
    bool placeGang(const ReadyStep&, Instant now);
    std::vector<std::string> racksWithCapacity(const TrackedJob&, const StepSpec&) const;
    bool startGang(const ReadyStep&, const std::string& rack, Instant now);
    void undoStarts(const ReadyStep&, uint32_t members, size_t actionsBefore);
    void completeGang(TrackedJob&, const TaskRef&);
    void breakGang(TrackedJob&, const TaskRef&);
    static void shareCheckpoint(TrackedJob&, const TaskRef&, const std::string& checkpoint);
    void startRun(WorkerEntry&, const ReadyStep&, uint32_t index, Instant now);
    void superviseWorker(WorkerEntry&, Instant now);
    void observeInterference(WorkerEntry&, Instant now);
    void updateOverTargetSince(WorkerEntry&, Instant now);
    void throttleBestEffortRuns(WorkerEntry&, Instant now);
    void setSpeedPercent(WorkerEntry&, const TaskRef&, TrackedRun&, uint32_t speedPercent, Instant now);
    void stopRun(const TaskRef&, TrackedRun&);
    static void updateEffectiveRunTime(TrackedRun&, const StepSpec&, Instant now);
    static void recordRunTime(TrackedStep&, const StepSpec&, const TrackedRun&, Instant now);
    static bool isSlow(const WorkerEntry&, Instant now);
    void handleSlowRun(WorkerEntry&, const TaskRef&, TrackedJob&, TrackedTask&, TrackedRun&, Instant now);
    void requestSpeculativeCopy(TrackedJob&, const TaskRef&, TrackedTask&);
    double servingMargin(const TrackedRun&, const StepSpec&, uint32_t image) const;
    double sameImageShare(const WorkerEntry&, uint32_t image) const;
    double addedUtilisation(
        const WorkerEntry&, const StepSpec& bestEffortSpec, uint32_t bestEffortImage, uint32_t servingImage) const;
    void refreshServingPressures(WorkerEntry&) const;
    double allowedBestEffortShare(WorkerEntry&, const StepSpec&, uint32_t bestEffortImage) const;
    void reserve(WorkerEntry&, TrackedJob&, const TaskRef&, uint64_t run);
    void release(WorkerHandle, const TrackedJob&, const TaskRef&, uint64_t run);

    Options m_options;
    std::map<std::string, QueuePolicy> m_queues;
    std::set<ZoneId> m_excludedZones;
    std::unordered_map<JobId, std::unique_ptr<TrackedJob>> m_jobs;
    std::map<WorkerHandle, std::unique_ptr<WorkerEntry>> m_workers;

    /// Workers that may get runs, by service, as of the latest plan.
    std::map<std::string, std::vector<WorkerEntry*>> m_candidates;
    std::map<StepKey, ReadyStep> m_readySteps;
    uint64_t m_readySequence { 0 };
    std::set<JobId> m_recurringJobs;
    std::set<JobId> m_changedJobs;
    std::vector<TaskAction> m_actions;

    /// Time of the latest report or plan.
    Instant m_latestEventAt { neverInstant };
    Instant m_unblockAt { neverInstant };
    PressureModel m_pressure;

    /// Processors that short tasks reserve now, and their recent peak with those that wait.
    int64_t m_shortTaskCpuMillis { 0 };
    double m_shortTaskDemandMillis { 0 };
    Instant m_shortTaskDemandAt { neverInstant };

    /// Processors that are free on usable workers, as of the last plan.
    int64_t m_freeCpuMillis { 0 };
};

}
