#include <LibCore/GuardedCall.h>
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/OutcomeNames.h>
#include <LibNode/TaskLeader.h>
#include <LibReport/NodeMetrics.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds retryDelay { 150 };
static constexpr Milliseconds tickInterval { 100 };

/// Minimum interval between two scheduling passes. Each pass visits all workers, and hundreds of workers produce events
/// at a higher rate.
static constexpr Milliseconds minPlanInterval { 8 };

/// Interval at which the interference model is stored for the next leader.
static constexpr Milliseconds pressuresInterval { 3000 };

/// Workers announce themselves about once per second, so a list of workers of this age misses at most one announcement
/// of each worker.
static constexpr Milliseconds workerListInterval { 400 };

/// With an older list of workers, a task could start on a worker later than its notice to leave allows, which is 2 s at
/// least.
static constexpr Milliseconds maxWorkerListAge { 1500 };

/// Covers the time from the loss of all nodes to the first lease renewal by a new leader. A longer lease would make
/// that leader wait longer for workers that are gone. All versions that run together must use the same duration.
static constexpr Milliseconds maxLeaseDuration { 5000 };

/// Allowance for the delivery time of commands.
static constexpr Milliseconds leaseExpiryMargin { 300 };

int64_t TaskLeader::unixMsNow()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(now).count();
}

TaskLeader::TaskLeader(EventLoop& loop, RecordStore& store, TaskExecutor& taskExecutor, const PlatformFormats& formats,
    NodeMetrics& metrics, Options options)
    : m_loop(loop)
    , m_store(store)
    , m_taskExecutor(taskExecutor)
    , m_formats(formats)
    , m_metrics(metrics)
    , m_options(std::move(options))
    , m_scheduler({ .epoch = m_options.epoch,
          .recordsPlacements = true,
          .mayStartLate = [this](const TaskRef& task) { return m_lateStarts.mayHold(task); } })
    , m_renewalLimiter(
          std::make_shared<ConcurrencyLimiter>(maxConcurrentRenewals(m_options.node.cpuMillis, firstRenewalTimeout)))
    , m_journal(loop, store,
          { .epoch = m_options.epoch,
              .collect = [this] { return collectProgress(); },
              .onStored = [this](const ProgressBatch& batch) { handleProgressStored(batch); },
              .onFenced = m_options.onFenced })
    , m_listedWorkers(m_options.node.workerSilenceUntilRemoval)
{
}

/// Number of concurrent calls that the host can open and process within half of their time-out. With more calls, all of
/// them would time out, and each timed-out call would need another connection.
size_t TaskLeader::maxConcurrentRenewals(int64_t cpuMillis, Milliseconds timeout)
{
    constexpr size_t defaultLimit = 128;
    constexpr size_t minLimit = 64;
    constexpr double cpuMsPerCall = 1;
    constexpr double timeoutShare = 0.5;
    constexpr double millisPerCore = 1000;
    if (cpuMillis <= 0)
        return defaultLimit;
    auto cores = static_cast<double>(cpuMillis) / millisPerCore;
    auto calls = static_cast<double>(timeout.count()) * timeoutShare * cores / cpuMsPerCall;
    return std::max(minLimit, static_cast<size_t>(calls));
}

TaskLeader::~TaskLeader() { *m_alive = false; }

Milliseconds TaskLeader::leaseDuration() const { return std::min(m_options.node.maxLease, maxLeaseDuration); }

void TaskLeader::start()
{
    m_electedAt = m_loop.now();
    m_metrics.recordElection();
    if (m_options.hasPredecessor) {
        m_earlierLeasesExpireAt = m_loop.now()
            + std::chrono::duration_cast<Milliseconds>(leaseDuration() * clockRateFactor) + leaseExpiryMargin;
    }
    beginExcludingEarlierLeaders();
    m_journal.fencePredecessors([this] { loadProgress({}); });
}

void TaskLeader::loadProgress(const std::string& afterKey)
{
    m_store.readNewest(StreamName::Progress, 0, afterKey, m_loadTimeout.current(),
        [this, alive = m_alive, afterKey, requestSentAt = m_loop.now()](absl::StatusOr<ReadNewestReply> reply) {
            if (!*alive)
                return;
            m_loadTimeout.recordResult(reply.status(), m_loop.now() - requestSentAt);
            if (!reply.ok()) {
                logWarning("progress_load_failed", { { "error", statusText(reply.status()) } });
                m_loop.callAfter(retryDelay, [this, alive, afterKey] {
                    if (*alive)
                        loadProgress(afterKey);
                });
                return;
            }
            for (const auto& record : reply->records)
                applyProgressRecord(record);
            if (reply->hasMore && !reply->records.empty())
                return loadProgress(reply->records.back().key);
            handleProgressLoaded();
        });
}

void TaskLeader::handleProgressLoaded()
{
    auto unreached = reliableUnreachedWorkers();
    // Older versions do not store which leaders they have excluded.
    bool haveEarlierLeadersBeenExcluded = m_storedUnreachedWorkers.oldestEpoch > 0;
    m_isUnreachedRecordDoubtful
        = !haveEarlierLeadersBeenExcluded && 2 * unreached.size() > m_storedAssignedWorkers.workers.size();
    auto doubtful = std::ranges::count_if(m_storedUnreachedWorkers.workers, &UnreachedWorker::isDoubtful);
    logInfo("progress_loaded",
        { { "epoch", m_options.epoch }, { "jobs", m_storedProgress.size() },
            { "workers", m_storedAssignedWorkers.workers.size() }, { "unreached", unreached.size() },
            { "unreached_ms", longestUnreachedTime(unreached).count() }, { "doubtful", doubtful } });
    dropReplacedIncarnations();
    restoreLateStarts();
    for (const auto& incarnation : m_storedAssignedWorkers.workers) {
        auto it = unreached.find(incarnation);
        auto handle = addWorker(incarnation, std::nullopt, it == unreached.end() ? 0 : it->second);
        auto& worker = m_workers.at(handle);
        worker.areEarlierRenewalsOver = haveEarlierLeadersBeenExcluded && it != unreached.end();
        // Without a record of its own, a leader that ends soon has renewed no lease.
        worker.session->withholdLease();
        worker.firstRecordWithout = m_unreachedRecords + 1;
        m_assignedWorkers.push_back(handle);
    }
    restoreDoubtfulWorkers();
    for (uint32_t partition = 0; partition < jobPartitions; ++partition) {
        m_jobReaders.push_back(std::make_unique<StreamReader>(m_loop, m_store,
            StreamReader::Options { .stream = StreamName::Jobs,
                .partition = partition,
                .loadTimeout = stateLoadTimeout,
                .onReload = [] {},
                .onRecord = [this](const KeyedRecord& record) { applyJobRecord(record); },
                .onCaughtUp = [this] { handleJobsCaughtUp(); } }));
    }
    m_workerReader = std::make_unique<StreamReader>(m_loop, m_store,
        StreamReader::Options { .stream = StreamName::Workers,
            .maxWait = Milliseconds { 0 },
            .pollInterval = workerListInterval,
            .loadTimeout = stateLoadTimeout,
            .onReload =
                [this] {
                    m_listedWorkers.clear();
                    m_entriesOfUnknownServices.clear();
                },
            .onRecord
            = [this](const KeyedRecord& record) { applyWorkerRecord(record, m_workerReader->appendedAfter()); },
            .onCaughtUp = [this] { handleWorkersCaughtUp(); } });
    for (auto& reader : m_jobReaders)
        reader->start();
    m_workerReader->start();
    tick();
}

void TaskLeader::applyJobRecord(const KeyedRecord& record)
{
    if (record.value.empty())
        return;
    // The store may hold far more ended jobs than fit in memory with their specifications.
    if (m_scheduler.addEndedJob(record.key))
        return;
    auto spec = decodeValue<JobSpec>(record.value);
    if (!spec.ok()) {
        logError("job_unreadable", { { "job", record.key }, { "error", statusText(spec.status()) } });
        return;
    }
    // Without the stored progress, the leader does not know which tasks are done or whether the job was cancelled.
    if (m_jobsWithUnreadableProgress.contains(spec->id))
        return;
    std::optional<JobProgress> stored;
    if (auto it = m_storedProgress.find(spec->id); it != m_storedProgress.end()) {
        stored = std::move(it->second);
        m_storedProgress.erase(it);
    }
    auto id = spec->id;
    auto queue = spec->queue;
    auto acceptedAtMs = spec->acceptedAtMs;
    // A job accepted after this leader has read the streams was never started by an earlier leader, so its tasks do not
    // have to wait for earlier leases to expire.
    auto blockedUntil = m_isReconciled || hasLoadedJobs() ? neverInstant : m_earlierLeasesExpireAt;
    updateConfigurationAge();
    auto reliability = reliabilityOf(stored);
    if (!m_scheduler.addJob(std::move(*spec), std::move(stored), blockedUntil, m_loop.now(), reliability))
        return;
    logInfo("job_known",
        { { "job", id }, { "queue", queue }, { "age_ms", unixMsNow() - acceptedAtMs }, { "offset", record.offset } });
    if (isBeingCancelled(id))
        m_scheduler.cancelJob(id);
    applyEndsOf(id);
}

TaskScheduler::ProgressReliability TaskLeader::reliabilityOf(const std::optional<JobProgress>& stored) const
{
    const auto& elections = m_options.elections;
    auto author = stored ? stored->epoch : 0;
    // Versions that store no epoch store no placements either.
    bool isAuthorKnown = !stored || author > 0;
    return { .idleTasks = stored && elections.doLeadersRecordStartsOfIdleTasks(author, m_options.epoch),
        .placements
        = isAuthorKnown && elections.arePlacementsRecordedSince(author) && !m_areAssignedWorkersUnreadable };
}

bool TaskLeader::hasLoadedJobs() const
{
    // Jobs accepted during the load arrive with the first read after it.
    return !m_jobReaders.empty() && jobsCurrentAsOf() != neverInstant;
}

Instant TaskLeader::jobsCurrentAsOf() const
{
    auto oldest = Instant::max();
    for (const auto& reader : m_jobReaders)
        oldest = std::min(oldest, reader->currentAsOf());
    return oldest;
}

void TaskLeader::handleJobsCaughtUp()
{
    dropOrphanedEnds();
    answerQueriesOfUnknownJobs();
    if (hasLoadedJobs() && !std::exchange(m_areSessionsStarted, true)) {
        m_sessionsStartedAt = m_loop.now();
        confirmInheritedCrashes();
        startDueSessions();
    }
    schedulePlan();
}

ProgressBatch TaskLeader::collectProgress()
{
    auto& collected = m_collectedBatches.emplace_back();
    // The first record of unreached workers would wait for the answer to an append before it, and with it all leases.
    if (!isFirstUnreachedRecordDue())
        return {};
    ProgressBatch batch { .jobs = m_scheduler.takeChangedJobs() };
    collected.acknowledgements = std::exchange(m_pendingAcknowledgements, {});
    collected.cancellationsOfUnknownJobs = std::exchange(m_cancellationsOfUnknownJobs, {});
    for (const auto& cancel : collected.cancellationsOfUnknownJobs)
        batch.jobs.push_back({ .id = cancel.job, .state = JobStage::Cancelled });
    // At a take-over, they share the append of the first record of unreached workers.
    bool mayStorePressures = m_unreachedRecords > 0 || isUnreachedRecordDue() || earlierWorkers().counted == 0;
    if (mayStorePressures && m_loop.now() - m_pressuresStoredAt >= pressuresInterval) {
        m_pressuresStoredAt = m_loop.now();
        batch.pressures = m_scheduler.savePressures();
    }
    bool mustStoreUnreachedWorkers = m_unreachedWorkersChanged && m_unreachedRecords == 0;
    // With workers added, half of the assigned workers need not include one that an earlier leader relies on. So the
    // change is stored together with the workers that decide, and not while an older list of them is in force.
    // A worker may be given tasks once it is stored as assigned, so that a record of this leader must precede.
    bool canStoreAssignedWorkers = m_areEarlierLeadersExcluded || !hasInheritedDoubt();
    if (canStoreAssignedWorkers && std::exchange(m_assignedWorkersChanged, false)) {
        mustStoreUnreachedWorkers
            = mustStoreUnreachedWorkers || !m_areEarlierLeadersExcluded || m_unreachedRecords == 0;
        batch.assignedWorkers.emplace();
        ++m_assignedRecords;
        collected.assignedWorkers.emplace();
        for (auto& [handle, worker] : m_workers) {
            if (worker.isRetired)
                continue;
            batch.assignedWorkers->workers.push_back(worker.incarnation);
            collected.assignedWorkers->push_back(handle);
            addMisdirectedLease(worker, *batch.assignedWorkers);
        }
    }
    if (mustStoreUnreachedWorkers || isUnreachedRecordDue()) {
        m_unreachedWorkersChanged = false;
        batch.unreachedWorkers = collectUnreachedWorkers();
    }
    if (m_lateStarts.isDue(m_loop.now()))
        batch.unansweredStarts = m_lateStarts.collect(m_loop.now());
    collected.assignedRecords = m_assignedRecords;
    collected.unreachedRecords = m_unreachedRecords;
    return batch;
}

void TaskLeader::handleProgressStored(const ProgressBatch& batch)
{
    auto collected = std::move(m_collectedBatches.front());
    m_collectedBatches.pop_front();
    handleOmittedRecords(batch);
    for (const auto& progress : batch.jobs) {
        if (!m_scheduler.progressStored(progress))
            continue;
        m_metrics.recordJobEnd(nameOf(progress.state));
        logJobEnd(progress);
        m_scheduler.releaseDetails(progress.id);
    }
    if (batch.assignedWorkers) {
        m_assignedWorkers = std::move(*collected.assignedWorkers);
        for (auto& [handle, worker] : m_workers) {
            if (worker.isStored || collected.assignedRecords < worker.firstAssignedRecord
                || std::ranges::find(batch.assignedWorkers->workers, worker.incarnation)
                    == batch.assignedWorkers->workers.end())
                continue;
            worker.isStored = true;
            updateWorkerInScheduler(handle);
        }
        schedulePlan();
    }
    if (batch.unreachedWorkers)
        handleUnreachedWorkersStored(collected.unreachedRecords);
    std::erase_if(m_pendingCancellations, [&](PendingCancellation& cancel) {
        auto stored = m_scheduler.stateOf(cancel.job);
        if (stored && *stored < JobStage::Completed)
            return false;
        cancel.reply.state = stored.value_or(JobStage::Cancelled);
        cancel.callback(cancel.reply);
        return true;
    });
    for (const auto& cancel : collected.cancellationsOfUnknownJobs) {
        if (std::ranges::find(batch.omittedJobs, cancel.job) != batch.omittedJobs.end())
            continue;
        if (!m_scheduler.stateOf(cancel.job))
            m_scheduler.restoreEnd(cancel.job, JobStage::Cancelled);
        cancel.callback(cancel.reply);
    }
    if (m_scheduler.hasStartsAwaitingRecords())
        schedulePlan();
    // Only run ends collected before this batch may be acknowledged: later ones are not stored yet.
    acknowledgeStoredEnds(collected.acknowledgements);
}

/// Whether runs that earlier leaders started on the worker may be unknown to this leader.
bool TaskLeader::mayRunEarlierTasks(const Worker& worker)
{
    bool mayHaveRuns = !worker.isRetired || worker.mayRunEarlierTasks;
    return mayHaveRuns && !worker.session->isReconciled();
}

/// A worker that is not known has ended, or was stored as one without runs.
bool TaskLeader::mayRunEarlierTasks(const WorkerId& id) const
{
    auto handle = findHandle(id);
    return handle && mayRunEarlierTasks(m_workers.at(*handle));
}

void TaskLeader::checkReconciled()
{
    if (m_isReconciled || !m_workerReader || !m_workerReader->hasLoaded())
        return;
    if (m_areAssignedWorkersUnreadable && m_loop.now() < m_earlierLeasesExpireAt)
        return;
    if (std::ranges::any_of(m_workers, [](const auto& it) { return mayRunEarlierTasks(it.second); }))
        return;
    m_isReconciled = true;
    auto passed = m_loop.now() - m_electedAt;
    m_metrics.recordTakeover(passed);
    logInfo(
        "leader_settled", { { "epoch", m_options.epoch }, { "workers", m_workers.size() }, { "ms", passed.count() } });
    m_scheduler.unblockTasks();
    schedulePlan();
}

void TaskLeader::schedulePlan()
{
    if (std::exchange(m_isPlanScheduled, true))
        return;
    auto run = [this, alive = m_alive] {
        if (!*alive)
            return;
        m_isPlanScheduled = false;
        plan();
    };
    auto delay = m_lastPlanAt + minPlanInterval - m_loop.now();
    if (delay <= Milliseconds { 0 })
        return m_loop.post(std::move(run));
    m_loop.callAfter(delay, std::move(run));
}

/// A start also renews the lease of its worker.
bool TaskLeader::canStart() const
{
    return m_options.canStart() && canRenewLeases() && !m_workerReader->isLagging(maxWorkerListAge);
}

/// Whether the start may be sent now. The decision may be old: the command may have waited behind others.
bool TaskLeader::canStart(const StartTask& start) const
{
    return canStart() && m_scheduler.acceptsRuns(start.worker) && m_scheduler.hasRoomForRuns(start.worker)
        && m_scheduler.wasKnownAt(start.task.job, m_options.soleLeaderUntil());
}

void TaskLeader::plan()
{
    if (!hasLoadedJobs())
        return;
    m_lastPlanAt = m_loop.now();
    updateConfigurationAge();
    if (!m_isReconciled && m_areSessionsStarted && m_workerReader->hasLoaded())
        m_scheduler.unblockPlacedTasks([this](const WorkerId& id) { return mayRunEarlierTasks(id); });
    for (auto& action : m_scheduler.plan(m_loop.now(), unixMsNow(), startPermission())) {
        auto handle = std::visit([](const auto& command) { return command.worker; }, action);
        recordCommand(action);
        if (auto it = m_workers.find(handle); it != m_workers.end())
            it->second.session->enqueueCommand(std::move(action));
    }
    m_scheduler.recordIdleTasks(m_loop.now(), [this](const TaskRef& task) { return m_lateStarts.mayHold(task); });
    reportCrashes();
    m_journal.requestFlush();
}

void TaskLeader::recordCommand(const TaskAction& action)
{
    if (const auto* stop = std::get_if<StopTask>(&action)) {
        m_metrics.recordTaskCommand("stop");
        m_metrics.recordStop(nameOf(stop->reason));
        m_load.recordStop(stop->reason);
    } else if (std::holds_alternative<ThrottleRun>(action)) {
        m_metrics.recordTaskCommand("pace");
        m_load.recordThrottle();
    } else {
        const auto& start = std::get<StartTask>(action);
        m_load.recordStart(start.isSpeculativeCopy);
        logLongRunningStart(start);
    }
}

/// Logs the start of a long-running task that has run before, or has waited for long.
void TaskLeader::logLongRunningStart(const StartTask& start)
{
    constexpr Milliseconds longWait { 1000 };
    if (!start.longRunningWait || (!start.isRestart && *start.longRunningWait < longWait))
        return;
    auto worker = m_workers.find(start.worker);
    logInfo("long_running_task_started",
        { { "job", start.task.job }, { "occurrence", start.task.occurrence }, { "step", start.task.step },
            { "index", start.task.index }, { "run", start.run }, { "waited_ms", start.longRunningWait->count() },
            { "has_run", start.isRestart },
            { "worker",
                worker == m_workers.end() ? std::string_view {}
                                          : std::string_view { worker->second.incarnation.id } } });
}

void TaskLeader::tick()
{
    detectPause();
    if (m_nextTickAt != neverInstant)
        m_load.recordTimerDelay(m_loop.now() - m_nextTickAt);
    // A failure must not end the periodic work.
    guardedCall("tick_failed", [&] {
        startDueSessions();
        updateLeavingReportInterval();
        markUnreachedWorkers();
        updateMisdirectedLeases();
        answerQueriesOfUnknownJobs();
        checkJobStreamsForQueries();
        updateLateStarts();
    });
    guardedCall("plan_failed", [&] { plan(); });
    guardedCall("tick_failed", [&] {
        updateGauges();
        logStepWaits();
        m_load.logIfDue(m_loop.now());
    });
    m_nextTickAt = m_loop.now() + tickInterval;
    m_loop.callAfter(tickInterval, [this, alive = m_alive] {
        if (*alive)
            tick();
    });
}

void TaskLeader::setQueues(uint64_t configVersion, std::map<std::string, QueuePolicy> queues)
{
    m_configVersion = configVersion;
    // Jobs that wait for a current configuration must not be judged by the queues before.
    m_scheduler.setQueues(std::move(queues), configVersion);
    updateConfigurationAge();
    schedulePlan();
}

/// Must precede each event after which a job may fail.
void TaskLeader::updateConfigurationAge()
{
    m_scheduler.setConfigurationCurrent(!m_options.isConfigurationCurrent || m_options.isConfigurationCurrent());
}

void TaskLeader::setExcludedZones(std::set<ZoneId> zones) { m_scheduler.setExcludedZones(std::move(zones)); }

}
