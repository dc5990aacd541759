#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/OutcomeNames.h>
#include <LibNode/TaskLeader.h>
#include <LibReport/NodeMetrics.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <iterator>
#include <string>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds retryDelay { 150 };
static constexpr Milliseconds tickInterval { 100 };

/// Events within this time share a plan: a plan looks at all workers, and on hundreds of workers events come faster.
static constexpr Milliseconds shortestPlanGap { 8 };

/// What was learned of interference is stored this often, for a successor.
static constexpr Milliseconds pressuresInterval { 3000 };

/// Workers announce themselves about once a second; a list this old misses at most one change.
static constexpr Milliseconds workerListInterval { 400 };

/// Covers the time from the loss of all nodes to the first renewal of a new leader. A longer lease would only make that
/// leader wait longer for a worker that is gone. All versions that run together must use the same length.
static constexpr Milliseconds longestLease { 5000 };

/// The slowest clock of a worker and the travel of orders, in relation to the longest lease.
static constexpr double lapseFactor = 1.03;
static constexpr Milliseconds lapseMargin { 300 };

/// A node that has not read the job stream for this long does not know whether a job exists.
static constexpr Milliseconds longestJobLag { 2500 };

/// Time until an accepted job has been read.
static constexpr Milliseconds acceptanceLag { 250 };

static int64_t unixMsNow()
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
    , m_scheduler({ .epoch = m_options.epoch })
    , m_questionWindow(std::make_shared<CallWindow>(callWindowSize(m_options.node.cpuMillis, questionTimeout)))
    , m_journal(loop, store,
          { .epoch = m_options.epoch,
              .collect = [this] { return collectProgress(); },
              .onStored = [this](const ProgressBatch& batch) { progressStored(batch); },
              .onFenced = m_options.onFenced })
{
}

/// Calls that the host can open and answer within half of their time-out. More at a time would all be late, and each
/// that is given up costs another connection.
size_t TaskLeader::callWindowSize(int64_t cpuMillis, Milliseconds timeout)
{
    constexpr size_t usualSize = 128;
    constexpr size_t smallestSize = 64;
    constexpr double processorMsPerCall = 1;
    constexpr double usedShare = 0.5;
    constexpr double millisPerCore = 1000;
    if (cpuMillis <= 0)
        return usualSize;
    auto cores = static_cast<double>(cpuMillis) / millisPerCore;
    auto calls = static_cast<double>(timeout.count()) * usedShare * cores / processorMsPerCall;
    return std::max(smallestSize, static_cast<size_t>(calls));
}

TaskLeader::~TaskLeader() { *m_alive = false; }

Milliseconds TaskLeader::leaseLength() const { return std::min(m_options.node.maxLease, longestLease); }

void TaskLeader::start()
{
    m_electedAt = m_loop.now();
    m_metrics.recordElection();
    if (m_options.earlierLeader) {
        m_blockedUntil
            = m_loop.now() + std::chrono::duration_cast<Milliseconds>(leaseLength() * lapseFactor) + lapseMargin;
    }
    m_journal.lockOut([this] { loadProgress({}); });
}

void TaskLeader::loadProgress(const std::string& afterKey)
{
    m_store.readNewest(StreamName::Progress, 0, afterKey, m_loadTimeout.current(),
        [this, alive = m_alive, afterKey, requestSentAt = m_loop.now()](absl::StatusOr<ReadNewestReply> reply) {
            if (!*alive)
                return;
            m_loadTimeout.observe(reply.status(), m_loop.now() - requestSentAt);
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
            if (reply->more && !reply->records.empty())
                return loadProgress(reply->records.back().key);
            progressLoaded();
        });
}

void TaskLeader::applyProgressRecord(const KeyedRecord& record)
{
    if (record.key == assignedWorkersKey) {
        auto assignedWorkers = decodeValue<AssignedWorkers>(record.value);
        if (assignedWorkers.ok())
            m_storedAssignedWorkers = std::move(*assignedWorkers);
        else
            logError("roster_unreadable", { { "error", statusText(assignedWorkers.status()) } });
        return;
    }
    if (record.key == pressuresKey) {
        if (auto pressures = decodeValue<PressureRecord>(record.value); pressures.ok())
            m_scheduler.restorePressures(*pressures);
        else
            logError("pressures_unreadable", { { "error", statusText(pressures.status()) } });
        return;
    }
    auto progress = decodeValue<JobProgress>(record.value);
    if (progress.ok())
        m_storedProgress[progress->id] = std::move(*progress);
    else
        progressUnreadable(record.key, progress.status());
}

void TaskLeader::progressUnreadable(const std::string& key, const absl::Status& status)
{
    logError("progress_unreadable", { { "key", key }, { "error", statusText(status) } });
    if (key.starts_with(jobKeyPrefix))
        m_jobsWithUnreadableProgress.insert(key.substr(std::string_view(jobKeyPrefix).size()));
}

void TaskLeader::progressLoaded()
{
    logInfo("progress_loaded",
        { { "epoch", m_options.epoch }, { "jobs", m_storedProgress.size() },
            { "workers", m_storedAssignedWorkers.workers.size() } });
    for (const auto& incarnation : m_storedAssignedWorkers.workers)
        addWorker(incarnation, std::nullopt);
    for (uint32_t partition = 0; partition < jobPartitions; ++partition) {
        m_jobs.push_back(std::make_unique<StreamReader>(m_loop, m_store,
            StreamReader::Options { .stream = StreamName::Jobs,
                .partition = partition,
                .loadTimeout = stateLoadTimeout,
                .onReload = [] {},
                .onRecord = [this](const KeyedRecord& record) { applyJobRecord(record); },
                .onCaughtUp = [this] { jobsRead(); } }));
    }
    m_workerList = std::make_unique<StreamReader>(m_loop, m_store,
        StreamReader::Options { .stream = StreamName::Workers,
            .wait = Milliseconds { 0 },
            .interval = workerListInterval,
            .loadTimeout = stateLoadTimeout,
            .onReload = [this] { m_listed.clear(); },
            .onRecord = [this](const KeyedRecord& record) { applyWorkerRecord(record); },
            .onCaughtUp = [this] { workersRead(); } });
    for (auto& reader : m_jobs)
        reader->start();
    m_workerList->start();
    tick();
}

void TaskLeader::applyJobRecord(const KeyedRecord& record)
{
    if (record.value.empty())
        return;
    auto spec = decodeValue<JobSpec>(record.value);
    if (!spec.ok()) {
        logError("job_unreadable", { { "job", record.key }, { "error", statusText(spec.status()) } });
        return;
    }
    // Without its progress it is not known which tasks are done, or whether the job was cancelled.
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
    // A job that was accepted after this leader had read the stream is unknown to earlier leaders.
    auto blockedUntil = m_settled || jobsLoaded() ? neverInstant : m_blockedUntil;
    if (!m_scheduler.addJob(std::move(*spec), std::move(stored), blockedUntil))
        return;
    logInfo("job_known",
        { { "job", id }, { "queue", queue }, { "age_ms", unixMsNow() - acceptedAtMs }, { "offset", record.offset } });
    applyEndsOf(id);
}

bool TaskLeader::jobsLoaded() const
{
    // Jobs that were accepted during the load are read after it.
    return !m_jobs.empty() && jobsCurrentAsOf() != neverInstant;
}

Instant TaskLeader::jobsCurrentAsOf() const
{
    auto oldest = Instant::max();
    for (const auto& reader : m_jobs)
        oldest = std::min(oldest, reader->currentAsOf());
    return oldest;
}

void TaskLeader::jobsRead()
{
    if (jobsLoaded() && !std::exchange(m_linksStarted, true)) {
        for (auto& [handle, worker] : m_workers)
            worker.session->start();
    }
    schedulePlan();
}

ProgressBatch TaskLeader::collectProgress()
{
    ProgressBatch batch { .jobs = m_scheduler.takeChangedJobs() };
    m_acknowledgementsInBatch = std::exchange(m_acknowledgements, {});
    if (m_loop.now() - m_pressuresStoredAt >= pressuresInterval) {
        m_pressuresStoredAt = m_loop.now();
        batch.pressures = m_scheduler.savePressures();
    }
    if (std::exchange(m_assignedWorkersChanged, false)) {
        batch.assignedWorkers.emplace();
        for (const auto& [handle, worker] : m_workers)
            batch.assignedWorkers->workers.push_back(worker.incarnation);
    }
    return batch;
}

/// Shows where the time of a job went: for each step, the wait for the last start and the time from then to its end.
void TaskLeader::logJobEnd(const JobProgress& progress)
{
    auto timeline = m_scheduler.timelineOf(progress.id).value_or(JobTimeline {});
    std::string steps;
    for (const auto& step : timeline.steps)
        fmt::format_to(std::back_inserter(steps), "{}{}.{}:wait={},run={}", steps.empty() ? "" : ";", step.occurrence,
            step.step, step.waited.count(), step.ran.count());
    logInfo("job_ended",
        { { "job", progress.id }, { "queue", timeline.queue }, { "state", nameOf(progress.state) },
            { "late_ms", unixMsNow() - timeline.objectiveUnixMs }, { "failed_runs", timeline.failedRuns },
            { "max_attempts", timeline.maxAttempts }, { "config_version", m_configVersion }, { "steps_ms", steps } });
}

void TaskLeader::progressStored(const ProgressBatch& batch)
{
    for (const auto& progress : batch.jobs) {
        m_scheduler.progressStored(progress);
        if (progress.state < JobStage::Completed)
            continue;
        m_metrics.recordJobEnd(nameOf(progress.state));
        logJobEnd(progress);
        m_scheduler.releaseDetails(progress.id);
    }
    if (batch.assignedWorkers) {
        for (auto& [handle, worker] : m_workers) {
            if (worker.stored
                || std::ranges::find(batch.assignedWorkers->workers, worker.incarnation)
                    == batch.assignedWorkers->workers.end())
                continue;
            worker.stored = true;
            publishWorker(handle);
        }
        schedulePlan();
    }
    std::erase_if(m_waitingCancels, [&](WaitingCancel& cancel) {
        auto stored = m_scheduler.stateOf(cancel.job);
        if (stored && *stored < JobStage::Completed)
            return false;
        cancel.answer.state = stored.value_or(JobStage::Cancelled);
        cancel.reply(cancel.answer);
        return true;
    });
    // Ends that arrived after the batch was collected are not in it.
    auto acknowledgements = std::exchange(m_acknowledgementsInBatch, {});
    for (auto [handle, sequence] : acknowledgements) {
        if (auto it = m_workers.find(handle); it != m_workers.end())
            it->second.session->acknowledge(sequence);
    }
}

void TaskLeader::checkSettled()
{
    if (m_settled || !m_workerList || !m_workerList->hasLoaded())
        return;
    for (const auto& [handle, worker] : m_workers) {
        if (!worker.session->isSettled())
            return;
    }
    m_settled = true;
    auto passed = m_loop.now() - m_electedAt;
    m_metrics.recordTakeover(passed);
    logInfo(
        "leader_settled", { { "epoch", m_options.epoch }, { "workers", m_workers.size() }, { "ms", passed.count() } });
    m_scheduler.unblockTasks();
    schedulePlan();
}

void TaskLeader::schedulePlan()
{
    if (std::exchange(m_planScheduled, true))
        return;
    auto run = [this, alive = m_alive] {
        if (!*alive)
            return;
        m_planScheduled = false;
        plan();
    };
    auto gap = m_plannedAt + shortestPlanGap - m_loop.now();
    if (gap <= Milliseconds { 0 })
        return m_loop.post(std::move(run));
    m_loop.callAfter(gap, std::move(run));
}

void TaskLeader::plan()
{
    if (!jobsLoaded())
        return;
    m_plannedAt = m_loop.now();
    for (auto& action : m_scheduler.plan(m_loop.now(), unixMsNow(), m_options.mayStart())) {
        auto handle = std::visit([](const auto& order) { return order.worker; }, action);
        if (!std::holds_alternative<StartTask>(action))
            m_metrics.recordOrder(std::holds_alternative<StopTask>(action) ? "stop" : "pace");
        if (auto it = m_workers.find(handle); it != m_workers.end())
            it->second.session->order(std::move(action));
    }
    m_journal.wake();
}

void TaskLeader::updateGauges()
{
    auto totals = m_scheduler.totals();
    m_metrics.setQueue(totals.waitingTasks, totals.activeRuns);
    auto reachable = std::ranges::count_if(m_workers, [](const auto& it) { return it.second.session->isReachable(); });
    m_metrics.setWorkers(static_cast<size_t>(reachable), m_workers.size());
}

/// Names tasks that should run all the time and have not been started for seconds, and why.
void TaskLeader::logLongRunningStepWaits()
{
    constexpr Milliseconds interval { 1000 };
    constexpr Milliseconds longWait { 3000 };
    constexpr size_t mostLines { 4 };
    auto now = m_loop.now();
    if (now - m_waitsLoggedAt < interval)
        return;
    m_waitsLoggedAt = now;
    for (const auto& wait : m_scheduler.longRunningStepWaits(now, longWait, mostLines))
        logInfo("task_waits",
            { { "job", wait.job }, { "occurrence", wait.occurrence }, { "step", wait.step }, { "tasks", wait.tasks },
                { "longest_ms", wait.longest.count() }, { "reason", nameOf(wait.reason) },
                { "cpu_millis", wait.size.cpuMillis }, { "memory_mb", wait.size.memoryMb },
                { "free_millis", m_scheduler.freeCpuMillis() },
                { "headroom_millis", m_scheduler.headroomCpuMillis() } });
}

void TaskLeader::tick()
{
    plan();
    updateGauges();
    logLongRunningStepWaits();
    m_loop.callAfter(tickInterval, [this, alive = m_alive] {
        if (*alive)
            tick();
    });
}

void TaskLeader::setQueues(uint64_t configVersion, std::map<std::string, QueuePolicy> queues)
{
    m_configVersion = configVersion;
    m_scheduler.setQueues(std::move(queues));
    schedulePlan();
}

void TaskLeader::setZonesOut(std::set<ZoneId> zones) { m_scheduler.setZonesOut(std::move(zones)); }

void TaskLeader::answer(const JobQuery& query, std::function<void(const JobQueryReply&)> reply, bool isRepeat)
{
    JobQueryReply answer { .queryId = query.queryId };
    bool current = jobsLoaded() && m_loop.now() - jobsCurrentAsOf() < longestJobLag;
    if (query.kind == JobQueryKind::Pending) {
        if (current)
            answer.status = JobQueryStatus::Found;
        answer.pending = m_scheduler.pendingJobs(query.subject);
        return reply(answer);
    }
    auto state = m_scheduler.stateOf(query.subject);
    if (!state && current && query.kind == JobQueryKind::Cancel && !isRepeat) {
        // The job may have been accepted a moment ago.
        m_loop.callAfter(acceptanceLag, [this, alive = m_alive, query, reply = std::move(reply)] {
            if (*alive)
                this->answer(query, reply, true);
        });
        return;
    }
    if (!state) {
        if (current && !m_jobsWithUnreadableProgress.contains(query.subject))
            answer.status = JobQueryStatus::Unknown;
        return reply(answer);
    }
    answer.status = JobQueryStatus::Found;
    answer.state = *state;
    if (query.kind == JobQueryKind::State || *state >= JobStage::Completed)
        return reply(answer);
    m_scheduler.cancelJob(query.subject);
    logInfo("job_cancelled", { { "job", query.subject } });
    m_waitingCancels.push_back({ .job = query.subject, .answer = answer, .reply = std::move(reply) });
    m_journal.wake();
    schedulePlan();
}

}
