#pragma once

#include <LibDecision/BacklogEstimate.h>
#include <LibDecision/CandidateRanking.h>
#include <LibDecision/DeferredOccurrences.h>
#include <LibDecision/EndedJobs.h>
#include <LibDecision/IsolationLimit.h>
#include <LibDecision/JobTimeline.h>
#include <LibDecision/PressureModel.h>
#include <LibDecision/ReadySteps.h>
#include <LibDecision/RoomReservations.h>
#include <LibDecision/RunEnd.h>
#include <LibDecision/RunEndCoverage.h>
#include <LibDecision/RunReport.h>
#include <LibDecision/ServingMargin.h>
#include <LibDecision/StepWait.h>
#include <LibDecision/StopReason.h>
#include <LibDecision/SuspectDelay.h>
#include <LibDecision/TaskAction.h>
#include <LibDecision/TaskRef.h>
#include <LibDecision/TaskWorkerView.h>
#include <LibDecision/TrackedJob.h>
#include <LibDecision/UnplacedSizes.h>
#include <LibDecision/WorkerEnd.h>
#include <LibDecision/WorkerLoss.h>
#include <LibDecision/WorkerRefusals.h>
#include <LibDecision/WorkerUse.h>
#include <LibWire/QueuePolicy.h>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Bergamot {

/// Assigns the tasks of a leader to workers. Callers feed in events, and plan() returns the commands to workers. Reads
/// no clock and does no input or output.
class TaskScheduler {
public:
    struct Options {
        /// Leader epoch; run numbers of a later epoch are higher.
        uint64_t epoch { 0 };

        /// Whether the start of a long-running task waits until the store knows its worker.
        bool recordsPlacements { false };

        /// Whether a worker may still execute an earlier start of the task, which may then run there too.
        std::function<bool(const TaskRef&)> mayStartLate { [](const TaskRef&) { return false; } };
    };

    /// What may be relied on in the stored progress of a job, because no leader since its author has started a task
    /// without a record.
    struct ProgressReliability {
        bool idleTasks { false };

        /// If there is no stored progress, no long-running task of the job has been started.
        bool placements { false };
    };

    /// Why a worker did not start a run.
    enum class StartRefusal : uint8_t {
        /// The worker lacks the resources that the task requires.
        InsufficientResources,
        /// A run of the task with this number or a higher one was stopped or ended on the worker.
        Superseded,
        /// The worker is unhealthy, or its lease had expired when the command arrived.
        NotStarted,
        /// The command was not sent, because it was no longer permitted. This says nothing about the worker.
        NotSent
    };

    explicit TaskScheduler(Options);
    ~TaskScheduler();

    /// The queues of this version of the configuration. Jobs that were accepted under a newer version keep its policy.
    void setQueues(std::map<std::string, QueuePolicy>, uint64_t configVersion = 0);
    void setExcludedZones(std::set<ZoneId>);

    /// Whether the queues are those of a recent read of the operators' records. While they are not, a job whose task
    /// has used up its attempts neither fails nor starts tasks, because the limit may have been raised.
    void setConfigurationCurrent(bool);

    /// Returns false if the job is known already. Its tasks do not start before `blockedUntil`, because runs that an
    /// earlier leader started may still be active. `knownAt` is when this leader read the job. Tasks that the stored
    /// progress names as idle, or places on a worker, start earlier if that is reliable.
    bool addJob(
        JobSpec, std::optional<JobProgress> stored, Instant blockedUntil, Instant knownAt, const ProgressReliability&);
    bool addJob(JobSpec, std::optional<JobProgress> stored, Instant blockedUntil, Instant knownAt = neverInstant);

    /// An end that an earlier leader stored, or the cancellation of an unknown job. The job stays unknown until it is
    /// added.
    void restoreEnd(const JobId&, JobStage);

    /// Returns false if the job is not known to have ended. Otherwise the job counts as added from now on, without its
    /// specification.
    bool addEndedJob(const JobId&);

    /// Whether this leader knew the job at `time`. False once the data of the job is freed after its end.
    bool wasKnownAt(const JobId&, Instant time) const;

    /// Cancels the job unless it has ended, and returns its state; std::nullopt for an unknown job.
    std::optional<JobStage> cancelJob(const JobId&);

    /// Returns the state to report to clients, or std::nullopt for an unknown job. An end is reported only once it is
    /// stored.
    std::optional<JobStage> stateOf(const JobId&) const;

    /// Returns std::nullopt for a job that is unknown or whose data is freed. Steps that ended under an earlier leader
    /// are left out.
    std::optional<JobTimeline> timelineOf(const JobId&) const;

    /// Returns the number of jobs of the queue that have neither started nor ended; repeating jobs are not counted.
    uint32_t pendingJobs(const std::string& queue) const;

    /// Number of jobs whose data is kept.
    size_t jobCount() const { return m_jobs.size(); }

    /// Number of occurrences of jobs that are held in memory.
    size_t builtOccurrences() const;

    /// Number of tasks of jobs that are held in memory.
    size_t tasksInMemory() const;

    /// Number of occurrences that are due and wait until earlier ones of their jobs have started, as of the latest
    /// plan.
    size_t deferredOccurrences() const { return m_deferredOccurrences; }

    void updateWorker(WorkerHandle, const TaskWorkerView&);

    /// Whether the worker may get runs: it is reachable, not draining, and its zone is not excluded.
    bool acceptsRuns(WorkerHandle) const;

    /// Whether the known runs on the worker fit in its capacity, including those that are being stopped and those whose
    /// starts have not been sent.
    bool hasRoomForRuns(WorkerHandle) const;

    /// Whether the worker has known runs, including those whose starts have not been sent.
    bool hasRuns(WorkerHandle) const;

    /// An unreachable worker gets no new runs.
    void setReachable(WorkerHandle, bool reachable, Instant now);

    /// A run under which a worker crashed, with the number of crashes of its task.
    struct CrashEvent {
        TaskRef task {};
        CrashedRun run {};
        size_t crashes { 0 };

        /// Probability that the workers would have crashed without the task.
        double coincidence { 1 };

        /// Whether the job failed because of this crash.
        bool failedJob { false };
    };

    /// Removes the worker and drops its runs. Called once all of them are proven to have ended.
    void removeWorker(WorkerHandle, WorkerEnd, Instant now);

    /// A worker was lost before it replied to this leader. It may have crashed under a run that an earlier leader
    /// started and did not record, so the first starts of all tasks that may have been that run are recorded before
    /// they are sent: however many leaders fail, one crash at most stays unrecorded.
    void inheritedWorkerLost();

    /// Returns the crashes that were confirmed since the last call. A crash is confirmed when it is known whether other
    /// workers of the rack or zone were lost with the worker.
    std::vector<CrashEvent> takeCrashEvents();

    /// Drops the runs of the worker. Called once all of them are proven to have ended.
    void markRunsLost(WorkerHandle, Instant now);

    /// The worker refuses or breaks connections, so it may have crashed. Its runs are recorded, so that the next leader
    /// knows them if this one fails before the crash is confirmed.
    void suspectCrash(WorkerHandle, Instant now);

    /// Confirms the stored crashes of incarnations that an earlier leader has removed. `isKnown` tells whether an
    /// incarnation is among the workers of this leader.
    void confirmInheritedCrashes(const std::function<bool(const WorkerId&, int64_t startedAtMs)>& isKnown);

    /// The worker acknowledged a start or stop command for the run; from now on its list of runs decides whether the
    /// run exists.
    void commandAccepted(WorkerHandle, const TaskRef&, uint64_t run, Instant now);
    void startRefused(WorkerHandle, const TaskRef&, uint64_t run, StartRefusal, Instant now);

    /// Whether the run is known as one of the worker's.
    bool hasRun(WorkerHandle, const TaskRef&, uint64_t run);

    /// Whether the run is known as one of the worker's, which has neither acknowledged nor listed it yet.
    bool isUnconfirmed(WorkerHandle, const TaskRef&, uint64_t run);

    /// The worker may have received the start of a run that was dropped: has it stop the run before the task starts
    /// again.
    void stopPossibleRun(WorkerHandle, const TaskRef&, uint64_t run, Instant now);
    void runEnded(WorkerHandle, const RunEnd&, Instant now);

    /// Processes the list of all active runs on a worker, requested at `requestSentAt`, after the ends of the same
    /// report, whose coverage is passed. The first list after a takeover contains runs that earlier leaders started.
    /// Returns the number of runs that were dropped, because the worker lists neither them nor their ends.
    size_t runsReported(
        WorkerHandle, const std::vector<RunReport>&, RunEndCoverage, Instant requestSentAt, Instant now);

    /// Whether the job is known and neither it nor the task has ended.
    bool isUnfinished(const TaskRef&);

    /// While it is held, no run of the task starts: a start that an earlier leader sent may still be executed.
    void setHeld(const TaskRef&, bool isHeld);

    /// Lets tasks start that no worker has listed. Called once all workers have replied to the new leader.
    void unblockTasks();

    /// Lets those tasks start that can be active only on workers on which no unknown run of an earlier leader may be.
    void unblockPlacedTasks(const std::function<bool(const WorkerId&)>& mayRunEarlierTasks);

    /// What this leader may start.
    struct StartPermission {
        bool mayStart { true };

        /// Only tasks of jobs that this leader knew by then start. A later leader starts jobs that were accepted after
        /// its election without waiting for the workers of this one, so the jobs must be older than the latest proof
        /// that there is no later leader.
        Instant knownBy { Instant::max() };

        /// Whether tasks start once the time passed to addJob() has come; false while an earlier leader may still renew
        /// leases of workers that this leader has not reached.
        bool mayUnblock { true };
    };

    /// Returns the commands that follow from all events so far. Stop and throttle commands need no permission: they are
    /// harmless after this leader has been replaced, because workers reject them.
    std::vector<TaskAction> plan(Instant now, int64_t unixMs, const StartPermission& = { true, Instant::max(), true });

    /// Has long-running tasks that wait for longer than those that find room at once stored as idle, so that a new
    /// leader need not wait with them until no worker can run them. `mayStartLate` tells whether a worker may still
    /// execute a start of the task.
    void recordIdleTasks(Instant now, const std::function<bool(const TaskRef&)>& mayStartLate);

    /// Returns the progress of the jobs that changed since the last call and must be stored.
    std::vector<JobProgress> takeChangedJobs();

    /// Returns whether this is the end of a job that this leader knows; true once for each job.
    bool progressStored(const JobProgress&);

    /// A collected record of the job was left out. What waits for it waits for the next one.
    void progressOmitted(const JobId&);

    /// Whether a start waits until a record is stored that neither names its task as idle nor places it elsewhere.
    bool hasStartsAwaitingRecords() const { return !m_startsAwaitingRecords.empty(); }

    /// Frees the data of a job whose end is stored, but keeps its state. While a run may be active, the data is kept
    /// until the last run has ended.
    void releaseDetails(const JobId&);

    /// Learned interference between images.
    PressureRecord savePressures() const { return m_pressure.save(); }
    void restorePressures(const PressureRecord& record) { m_pressure.restore(record); }

    struct Totals {
        uint32_t waitingTasks { 0 };
        uint32_t activeRuns { 0 };
    };
    Totals totals() const;

    /// Returns up to `maxCount` steps with a task that has waited for at least `minWait`, or with a run that its worker
    /// has not listed for that long: of each kind of task and reason the longest wait, then the others, longest wait
    /// first.
    std::vector<StepWait> stepWaits(Instant now, Milliseconds minWait, size_t maxCount) const;

    /// Returns the longest wait for each reason for which a task waits.
    std::map<PlacementDelay, Milliseconds> oldestWaits(Instant now) const;

    /// Why the usable workers cannot take the task of the step that has waited longest. The job must be known.
    WorkerRefusals refusalsOf(const StepWait&) const;

    /// Returns, for a best-effort step, the margin on that worker with room where a task of it may run fastest. Returns
    /// nullopt for other steps, if no worker has room, or if a worker with room has no serving task that limits it. The
    /// job must be known.
    std::optional<ServingMargin> bestServingMargin(const StepWait&) const;

    /// Number of jobs of any kind without a run and with a step whose first task has waited for at least `minWait`.
    size_t countJobsWithoutRun(Instant now, Milliseconds minWait) const;

    WorkerUse workerUse() const;

    /// Processors that are free on usable workers, and those that are reserved for the demand of short tasks, in
    /// thousandths of a core.
    int64_t freeCpuMillis() const { return m_freeCpuMillis; }
    int64_t headroomCpuMillis() const { return static_cast<int64_t>(m_shortTaskDemandMillis) - m_shortTaskCpuMillis; }

    /// Processors of usable workers that further best-effort tasks may expect to be idle, in thousandths of a core.
    int64_t idleCpuMillis() const;

    /// The expected waits of the backlogged classes of best-effort tasks, as of the latest plan.
    std::vector<ExpectedWait> expectedWaits() const { return m_backlogEstimate.expectedWaits(); }

private:
    struct WorkerEntry;
    /// The loss of a worker without a known cause.
    struct OtherLoss {
        const TaskWorkerView* view { nullptr };
        Instant at { neverInstant };
    };

    /// The losses of the workers of one service.
    struct OtherLosses {
        std::vector<OtherLoss> losses {};

        /// Number of workers of the service.
        size_t workers { 0 };
    };

    TrackedJob* findJob(const JobId&);
    const QueuePolicy& policyOf(const TrackedJob&) const;
    void enforceMaxAttempts(TrackedJob&, const TrackedTask&);
    void enforceMaxAttemptsOfAllTasks(TrackedJob&);
    void enforceMaxAttemptsOfAllJobs();
    static TrackedTask* findTask(TrackedJob&, const TaskRef&);
    static const TrackedTask* findTask(const TrackedJob&, const TaskRef&);
    static TrackedRun* findRun(TrackedTask&, uint64_t run);
    static const TrackedRun* findRun(const TrackedTask&, uint64_t run);
    const TrackedRun* findRunOn(WorkerHandle, const TaskRef&, uint64_t run);
    void prepareOccurrences(TrackedJob&, Instant blockedUntil);
    void endOccurrence(TrackedJob&, uint32_t number);
    void freeEndedOccurrences();
    static void freeOccurrence(TrackedJob&, uint32_t number, const TrackedOccurrence&);
    static void appendTimeline(std::vector<StepTimeline>&, uint32_t number, const TrackedOccurrence&);
    static void restoreDone(TrackedJob&, const JobProgress&);
    static void restoreDoneTasks(TrackedJob&, uint32_t number, const std::vector<std::string>& done, size_t position);
    static void storeDone(const TrackedJob&, JobProgress&);
    void applyStored(TrackedJob&, const JobProgress&);
    void restoreIdleTasks(TrackedJob&, const std::vector<IdleTask>&, bool areReliable);
    static bool isPlacementRecordable(const StepSpec&);
    static bool mustAwaitRecord(const TrackedJob&, const TrackedTask&);
    void removeIdleRecord(TrackedJob&, TrackedTask&);
    static std::vector<FailedRun> failedRunsToStore(const TrackedJob&);
    static std::vector<IdleTask> idleTasksOf(const TrackedJob&);
    void restorePlacements(TrackedJob&, const std::vector<PlacedTask>&, bool areReliable);
    static void unblockUnstartedTasks(TrackedJob&);
    void recordPlacement(TrackedJob&, const TaskRef&, TrackedTask&, const WorkerId&);
    void removePlacement(TrackedJob&, TrackedTask&);
    void recordPlacementsOfAdoptedRuns(TrackedJob&);
    void recordOmittedPlacements();
    static std::vector<PlacedTask> placedTasksOf(const TrackedJob&);
    void sendStartsAwaitingRecords(Instant now, const StartPermission&);
    bool sendStartAwaitingRecord(const StartTask&, Instant now, const StartPermission&);
    void withdrawStartsAwaitingRecords(WorkerHandle, Instant now);
    void activateOccurrence(TrackedJob&, uint32_t occurrence);
    void makeStepReady(TrackedJob&, uint32_t occurrence, uint32_t step);
    void addReadyStep(TrackedJob&, uint32_t occurrence, uint32_t step);
    void requeue(TrackedJob&, const TaskRef&);
    void enqueue(TrackedJob&, const TaskRef&);
    void completeTask(TrackedJob&, const TaskRef&, TrackedTask&);
    void completeStep(TrackedJob&, uint32_t occurrence, uint32_t step);
    void finishJob(TrackedJob&, JobStage);
    void stopActiveRuns(const TaskRef&, TrackedTask&, StopReason);
    void dropRun(TrackedJob&, const TaskRef&, TrackedTask&, uint64_t run);
    void releaseDetailsIfInactive(TrackedJob&);
    void removeReleasedJobs();
    void markChanged(const TrackedJob&);
    static void updateCheckpoint(TrackedJob&, const TaskRef&, TrackedTask&, const std::string& checkpoint);
    bool adoptListedRun(WorkerEntry&, const RunReport&, Instant now);
    void countUnwantedRun(WorkerEntry&, const TaskRef&);
    size_t dropUnlistedRuns(WorkerEntry&, Instant requestSentAt);
    void adoptRun(WorkerHandle, TrackedJob&, TrackedTask&, const RunReport&, Instant now);
    void updateRun(TrackedJob&, TrackedTask&, TrackedRun&, const RunReport&, Instant now);
    void requestStop(WorkerHandle, const TaskRef&, uint64_t run, StopReason, Instant now);
    bool isBlocked(const TrackedTask&, Instant now) const;
    std::map<const TrackedJob*, size_t> countWaitingOccurrences() const;
    std::vector<DeferredOccurrences> activateDueOccurrences(int64_t unixMs);
    void activateDueOccurrences(TrackedJob&, int64_t unixMs, size_t waitingOccurrences, size_t maxWaitingTasks);
    void placeWaitingTasks(Instant now, Instant knownBy);
    void collectCandidates(Instant now);
    void updateShortTaskDemand(const std::vector<DeferredOccurrences>&);
    bool mayFitWithCapacity(const TrackedJob&, const StepSpec&) const;
    void updateBacklogEstimate(Instant now, const std::vector<DeferredOccurrences>&);
    void addStartedWork(const ReadyStep&);
    bool acceptsRuns(const WorkerEntry&) const;
    bool isUsable(const WorkerEntry&, Instant now) const;
    bool leavesHeadroom(const StepSpec&) const;
    bool mustWaitForHeadroom(const StepSpec&, const TrackedTask&, Instant now) const;
    bool placeStep(const ReadyStep&, Instant now);
    class OverduePlacement;
    void placeOverdueTasks(UnplacedSizes&, Instant now, Instant knownBy);
    class IdleJobPlacement;
    void placeIdleJobs(Instant now, Instant knownBy);
    Milliseconds maxInheritedWait(const ReadyStep&) const;
    void setWaitingSince(const ReadyStep&, Instant now) const;
    static bool hasRunBefore(const TrackedJob&, const TrackedTask&);
    void addWaitsOfUnlistedRuns(std::vector<StepWait>&, Instant now, Milliseconds minWait) const;
    void moveLongestOfEachKindToFront(std::vector<StepWait>&) const;
    void addCrashedRuns(StepWait&) const;
    /// Which workers may take the run.
    enum class PlacementMode : uint8_t {
        Shared,
        /// Only workers on which the run would be isolated.
        Isolated,
        /// Workers that may be held until the run would be isolated there.
        Hold,
        /// Only the worker that is reserved for the task.
        Reserved,
        /// Only workers with isolated runs, for which the task cannot be mistaken.
        BesideIsolated
    };
    struct WorkerSearch;
    struct StepRanking;
    std::optional<WorkerSearch> beginSearch(
        const TrackedJob&, const ReadyStep&, const std::string& rack, Instant now, PlacementMode) const;
    std::optional<WorkerSearch> prepareSearch(
        const TrackedJob&, const ReadyStep&, const std::string& rack, Instant now, PlacementMode) const;
    static bool hasRoom(const WorkerSearch&, const WorkerEntry&);
    bool isAllowed(const WorkerSearch&, const TrackedTask&, const WorkerEntry&, uint32_t siblings) const;
    std::optional<double> scoreOf(const WorkerSearch&, const TrackedTask&, WorkerEntry&) const;
    std::vector<CandidateRanking::Entry> scoreCandidates(const WorkerSearch&, const TrackedTask&);
    WorkerEntry* chooseNextWorker(std::optional<StepRanking>&, const ReadyStep&, const TrackedTask&, Instant now);
    WorkerEntry* chooseWorker(const TrackedJob&, const ReadyStep&, const TrackedTask&, const std::string& rack,
        Instant now, PlacementMode = PlacementMode::Shared);
    void requeueGang(TrackedJob&, const TaskRef&);
    PlacementDelay delayOfGang(const TrackedStep&, Instant now) const;
    bool placeGang(const ReadyStep&, Instant now);
    bool placeGangIsolated(const ReadyStep&, RunIsolation, Instant now);
    std::vector<std::string> racksWithCapacity(const TrackedJob&, const StepSpec&) const;
    bool startGang(const ReadyStep&, const std::string& rack, Instant now, PlacementMode);
    void undoStarts(const ReadyStep&, uint32_t members, size_t actionsBefore);
    void completeGang(TrackedJob&, const TaskRef&);
    void breakGang(TrackedJob&, const TaskRef&);
    static void shareCheckpoint(TrackedJob&, const TaskRef&, const std::string& checkpoint);
    void startRun(WorkerEntry&, const ReadyStep&, uint32_t index, Instant now, PlacementMode = PlacementMode::Shared);
    static TaskRef crashKey(const TrackedJob&, const TaskRef&);
    static TaskRef taskOf(const TrackedJob&, const CrashedRun&);
    static bool isOnIncarnation(const CrashedRun&, const TaskWorkerView&);
    CrashedRun describeCrash(const WorkerEntry&, const TrackedJob&, const TaskRef&, const TrackedRun&) const;
    void recordCrash(TrackedJob&, const CrashedRun&);
    void withdrawCrash(TrackedJob&, const TaskRef&, uint64_t run);
    void withdrawCrashOn(WorkerHandle, TrackedJob&, const TaskRef&, uint64_t run);
    void clearCrashes(TrackedJob&, const TaskRef&);
    void clearIfProven(TrackedJob&, TrackedTask&, const TaskRef&, const TrackedRun&);
    void indexCrash(const TrackedJob&, const CrashedRun&);
    void resolveUnconfirmedCrashes(const WorkerEntry&);
    void withdrawFalseCrashes(const WorkerEntry&);
    void confirmCrashes(const WorkerLoss&);
    void confirmDueCrashes(Instant now);
    double otherCrashRate(const TrackedJob&, const TaskRef& key) const;
    bool hasLikelyCause(const WorkerEntry&) const;
    OtherLosses otherLosses(const WorkerLoss&) const;
    static size_t countOtherLosses(
        const TrackedJob&, const TaskRef& key, const WorkerLoss&, const OtherLosses&, Milliseconds time);
    void addExpectedCrashes(const TrackedJob&, CrashedRun&, const WorkerLoss&, const OtherLosses&) const;
    bool hasDueCrash(const TrackedJob&, const TaskRef& key) const;
    void recordRunTimes(const WorkerEntry&);
    bool hasOtherCrash(TrackedJob&, const CrashedRun&);
    void excuseCrash(TrackedJob&, const CrashedRun&);
    CrashEvent confirmCrash(TrackedJob&, CrashedRun);
    void withdrawUnconfirmedCrashes(const WorkerEntry&);
    std::vector<std::pair<TrackedJob*, CrashedRun>> unconfirmedCrashesOf(const WorkerId&);
    void forgetResolvedCrashes(const WorkerId&);
    bool isLostWithItsGroup(const WorkerLoss&) const;
    static Milliseconds expectedRunTime(const TrackedJob&, const TaskRef&);
    static bool areCrashesStored(const TrackedJob&, const TaskRef&);
    RunIsolation isolationOf(const TrackedJob&, const TaskRef&) const;
    static bool isHeldByPreference(const WorkerEntry&);
    static bool mayStartBesideIsolated(const TrackedTask&, const WorkerEntry&);
    SuspectDelay delayOfSuspect(const TrackedJob&, const TaskRef&, const TrackedTask&, Instant now) const;
    Milliseconds restartBackoff(const TrackedJob&, const TaskRef& key) const;
    bool mustBackOff(const TrackedJob&, const TaskRef& key, const TrackedTask&, Instant now) const;
    std::set<std::string> crashingServices(Instant now) const;
    bool mayWorkersCrash(const std::string& service, Instant now) const;
    static double usedIsolationSlots(const WorkerEntry&);
    bool isWithinIsolationLimit(const TrackedJob&, uint32_t newRuns, RunIsolation) const;
    bool leavesSharedWorkers(const TrackedJob&, uint32_t isolatedRuns) const;
    bool hasIsolationSlots(const TrackedJob&, uint32_t runs, RunIsolation) const;
    bool mayHold(const ReadyStep&, const WorkerEntry&) const;
    using SuspectOrder = std::pair<Instant, StepKey>;
    struct WaitingSuspect;
    std::vector<WaitingSuspect> suspectsByWait(Instant now, Instant knownBy);
    bool mayStartIsolated(const ReadyStep&, uint32_t index, Instant now) const;
    bool maySearchIsolated() const;
    bool maySearchFor(const WaitingSuspect&);
    void placeSuspects(Instant now, Instant knownBy);
    bool placeRequiredIsolation(const WaitingSuspect&, Instant now);
    SuspectDelay placementDelayOfSuspect(const TrackedJob&, uint32_t runs) const;
    static bool canIsolate(const WorkerEntry&, const TrackedJob&, uint32_t step, Instant now);
    bool placeSuspect(const ReadyStep&, uint32_t index, RunIsolation, Instant now);
    WorkerEntry* holdForIsolation(const ReadyStep&, const TrackedTask&, Instant now);
    void holdForGang(const ReadyStep&, Instant now);
    void markPossiblyLostSteps();
    static bool mayHaveLostRuns(const TrackedJob&, const TaskRef& key);
    static size_t maxUnrecordedCrashesOf(const TrackedJob&, const TaskRef& key);
    static bool mustRecordEachStart(const TrackedJob&, const TaskRef& key);
    static TrackedTask& crashTaskOf(TrackedJob&, const TaskRef&);
    static bool hasExcusedCrash(const TrackedJob&, const TaskRef&);
    static bool mayHaveCrashedAtStart(const TrackedJob&, const TaskRef& key);
    static bool mustRecordStart(const TrackedJob&, const TaskRef&, const TrackedTask&);
    void recordSuspectedStart(const WorkerEntry&, TrackedJob&, const TaskRef&, TrackedRun&);
    void sendSuspectedStarts(Instant now, const StartPermission&);
    void withdrawSuspectedStarts(WorkerHandle, Instant now);
    bool sendSuspectedStart(const StartTask&, Instant now, const StartPermission&);
    void setIsolated(TrackedRun&, bool isolated);
    void superviseWorker(WorkerEntry&, Instant now);
    void observeInterference(WorkerEntry&, Instant now);
    void updateOverTargetSince(WorkerEntry&, Instant now);
    void throttleBestEffortRuns(WorkerEntry&, Instant now);
    void setSpeedPercent(WorkerEntry&, const TaskRef&, TrackedRun&, uint32_t speedPercent, Instant now);
    void stopRun(const TaskRef&, TrackedRun&, StopReason);
    static void updateEffectiveRunTime(TrackedRun&, const StepSpec&, Instant now);
    static void recordRunTime(TrackedStep&, const StepSpec&, const TrackedRun&, Instant now);
    static bool isSlow(const WorkerEntry&, Instant now);
    void handleSlowRun(WorkerEntry&, const TaskRef&, TrackedJob&, TrackedTask&, TrackedRun&, Instant now);
    void requestSpeculativeCopy(TrackedJob&, const TaskRef&, TrackedTask&);
    double servingMargin(const TrackedRun&, const StepSpec&, ServingImage) const;
    double sameImageShare(const WorkerEntry&, const ImageNumber&) const;
    double addedUtilisation(
        const WorkerEntry&, const StepSpec& bestEffortSpec, const ImageNumber& bestEffortImage, ServingImage) const;
    void refreshServingPressures(WorkerEntry&) const;
    std::optional<ServingMargin> limitingMargin(WorkerEntry&, const StepSpec& bestEffortSpec, const ImageNumber&) const;
    double allowedBestEffortShare(WorkerEntry&, const StepSpec&, const ImageNumber&) const;
    void reserve(WorkerEntry&, TrackedJob&, const TaskRef&, uint64_t run);
    void release(WorkerHandle, const TrackedJob&, const TaskRef&, uint64_t run);

    Options m_options;
    std::map<std::string, QueuePolicy> m_queues;
    uint64_t m_configVersion { 0 };
    bool m_isConfigurationCurrent { true };
    std::set<ZoneId> m_excludedZones;
    std::unordered_map<JobId, std::unique_ptr<TrackedJob>> m_jobs;
    EndedJobs m_endedJobs;

    /// Jobs of `m_jobs` that move to `m_endedJobs` once no event or plan refers to them.
    std::set<JobId> m_releasedJobs;
    std::map<WorkerHandle, std::unique_ptr<WorkerEntry>> m_workers;

    /// Usable workers by service, as of the latest plan.
    std::map<std::string, std::vector<WorkerEntry*>> m_candidates;

    /// Sizes for which no worker has had room in the current plan, in which starts only reduce the room.
    UnplacedSizes m_sizesWithoutRoom;

    /// Workers that are reserved for tasks that fit on none.
    RoomReservations m_reservations;

    /// When a plan last placed the jobs without a run.
    Instant m_idleJobsSearchedAt { neverInstant };
    ReadySteps m_readySteps;
    uint64_t m_readySequence { 0 };
    std::set<JobId> m_recurringJobs;
    size_t m_deferredOccurrences { 0 };

    /// Occurrences that have ended and are not freed yet.
    std::vector<std::pair<JobId, uint32_t>> m_endedOccurrences;
    std::set<JobId> m_changedJobs;
    std::vector<TaskAction> m_actions;

    /// Jobs with unconfirmed and with confirmed crashes, by worker.
    std::map<WorkerId, std::set<JobId>> m_unconfirmedCrashes;
    std::map<WorkerId, std::set<JobId>> m_confirmedCrashes;

    /// Workers that crashed in the last seconds.
    std::vector<WorkerLoss> m_recentLosses;
    std::vector<CrashEvent> m_crashEvents;

    /// Whether a worker was lost before it replied to this leader, since the latest plan.
    bool m_hasLostInheritedWorker { false };

    /// Starts of suspected tasks that wait until their records are stored.
    std::vector<StartTask> m_suspectedStarts;

    /// Starts that wait until a record is stored that neither names their tasks as idle nor places them elsewhere.
    std::vector<StartTask> m_startsAwaitingRecords;

    /// The blocked tasks that wait for one worker only, by worker.
    std::map<WorkerId, std::vector<TaskRef>> m_tasksByAwaitedWorker;

    /// The tasks that are stored without a worker because a late start may run them elsewhere.
    std::set<TaskRef> m_unplacedTasks;
    uint32_t m_isolatedRuns { 0 };

    /// Workers that isolated runs may take down, as of the latest plan and its starts.
    double m_usedIsolationSlots { 0 };
    IsolationLimit m_isolationLimit;

    /// Workers that are held for isolated runs and have none yet, as of the latest plan and its holds.
    uint32_t m_heldWorkers { 0 };

    /// Services whose workers crash for no known cause, as of the latest plan.
    std::set<std::string> m_crashingServices {};

    /// Time of the first plan, from which on losses of workers are noticed.
    Instant m_planningSince { neverInstant };

    /// Searches of the current plan that found no worker for an isolated run, since it placed the tasks that have to
    /// run isolated.
    uint32_t m_failedSearches { 0 };

    /// The current plan searches workers for this task that has to run isolated and those after it, or for all.
    std::optional<SuspectOrder> m_firstSearchedSuspect;

    /// The first task for which the current plan made no search, because too many had failed.
    std::optional<SuspectOrder> m_firstSkippedSuspect;

    /// Time of the latest report or plan.
    Instant m_latestEventAt { neverInstant };

    /// Unix time of the latest plan.
    int64_t m_latestUnixMs { 0 };
    Instant m_unblockAt { neverInstant };

    /// StartPermission::mayUnblock of the latest plan.
    bool m_mayUnblock { true };
    PressureModel m_pressure;

    /// Processors that short tasks reserve, and the recent peak of those that they reserve or wait for.
    int64_t m_shortTaskCpuMillis { 0 };
    double m_shortTaskDemandMillis { 0 };
    Instant m_shortTaskDemandAt { neverInstant };

    /// Processors of usable workers that long-running tasks leave, and the time in which they could do the waiting work
    /// of short tasks, as of the latest plan.
    int64_t m_shortTaskRoomMillis { 0 };
    Milliseconds m_backlog { 0 };

    /// Free processors of usable workers, as of the latest plan and its starts.
    int64_t m_freeCpuMillis { 0 };
    BacklogEstimate m_backlogEstimate;
};

}
