#include <LibCore/Digest.h>
#include <LibCore/Verify.h>
#include <LibStandIn/Checkpoint.h>
#include <LibStandIn/WorkerModel.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace Bergamot {

static constexpr double serviceTimeSigma = 0.4;
static constexpr int64_t startFailureDelayMs = 50;
static constexpr int64_t usageReportLagMs = 2000;
static constexpr double failingProgress = 0.2;
static constexpr std::string_view failingKind = "always-fails";

// The declared size of a task is an estimate of its submitter. Its actual usage lies between these shares of the size.
static constexpr double minUsageShare = 0.3;
static constexpr double maxUsageShare = 1.2;

WorkerModel::WorkerModel(WorkerModelOptions options)
    : m_options(std::move(options))
    , m_interference(m_options.seed)
    , m_random(mixDigest(m_options.seed, digestOf(m_options.id)))
    , m_serviceTime(0.0, serviceTimeSigma)
    , m_slots(static_cast<size_t>(m_options.slots))
    , m_record { .worker = m_options.id,
        .zone = m_options.zone,
        .capacity = m_options.capacity,
        .slots = m_options.slots,
        .connections = m_options.connections }
{
}

Resources WorkerModel::committed() const
{
    Resources sum;
    for (const auto& [id, task] : m_running)
        sum = sum + task.start.size;
    return sum;
}

StartReply WorkerModel::reject(const TaskStart& start, std::string reason, Instant now)
{
    auto& highest = m_highestAttempt[start.task.job];
    highest = std::max(highest, start.task.attempt);
    m_ended.try_emplace(start.task,
        Ended {
            .task = { .task = start.task, .outcome = TaskOutcome::Refused, .result = reason }, .acknowledged = true });
    return { StartResult::Refused, clockMs(now), std::move(reason) };
}

StartReply WorkerModel::start(const TaskStart& start, Instant now)
{
    advance(now);
    if (m_running.contains(start.task))
        return { StartResult::AlreadyRunning, clockMs(now) };
    if (auto it = m_ended.find(start.task); it != m_ended.end()) {
        if (it->second.hasStarted)
            return { StartResult::AlreadyEnded, clockMs(now) };
        return reject(start, "fenced", now);
    }
    if (auto it = m_highestAttempt.find(start.task.job);
        it != m_highestAttempt.end() && start.task.attempt < it->second)
        return reject(start, "stale_attempt", now);
    if (clockMs(now) >= start.leaseUntilMs)
        return reject(start, "lease_lapsed", now);
    if (m_startFault == StartFault::Refuse)
        return reject(start, "start_failed", now);
    double progress = 0;
    if (!start.checkpoint.empty()) {
        auto parsed = Checkpoint::parse(start.checkpoint);
        if (!parsed.ok() || parsed->task.job != start.task.job)
            return reject(start, "bad_checkpoint", now);
        progress = static_cast<double>(parsed->progressPerMille) / 1000.0;
    }
    if (!(committed() + start.size).fitsIn(m_options.capacity)) {
        ++m_record.overCommitAttempts;
        return reject(start, "no_capacity", now);
    }
    admit(start, now, progress);
    return { StartResult::Started, clockMs(now) };
}

void WorkerModel::admit(const TaskStart& start, Instant now, double progress)
{
    auto& highest = m_highestAttempt[start.task.job];
    highest = std::max(highest, start.task.attempt);
    m_taskRecords.push_back({ .task = start.task,
        .worker = m_options.id,
        .zone = m_options.zone,
        .kind = start.kind,
        .isService = start.isService,
        .startMs = m_nowMs,
        .resumedFrom = start.checkpoint });
    Running task { .start = start,
        .leaseUntilMs = start.leaseUntilMs,
        .progress = progress,
        .lastCheckpoint = start.checkpoint,
        .startedMs = m_nowMs,
        .record = m_taskRecords.size() - 1 };
    if (m_startFault == StartFault::Fail)
        task.failsAtMs = now.time_since_epoch().count() + startFailureDelayMs;
    m_running.emplace(start.task, std::move(task));
    auto total = committed();
    m_record.highest
        = { std::max(m_record.highest.cpuMillis, total.cpuMillis), std::max(m_record.highest.memoryMb, total.memoryMb),
              std::max(m_record.highest.accelerators, total.accelerators) };
}

LeaseReport WorkerModel::renew(const LeaseRenewal& renewal, Instant now)
{
    advance(now);
    for (const auto& id : renewal.tasks) {
        if (auto it = m_running.find(id); it != m_running.end())
            it->second.leaseUntilMs = std::max(it->second.leaseUntilMs, renewal.leaseUntilMs);
    }
    for (const auto& id : renewal.acknowledged) {
        auto it = m_ended.find(id);
        if (it == m_ended.end())
            continue;
        it->second.acknowledged = true;
        if (it->second.record)
            m_taskRecords[*it->second.record].acknowledged = true;
    }
    LeaseReport report { .workerClockMs = clockMs(now) };
    for (const auto& [id, task] : m_running)
        report.running.push_back({ id, usageOf(task), static_cast<int64_t>(task.progress * 1000.0) });
    for (const auto& [id, ended] : m_ended) {
        if (!ended.acknowledged)
            report.ended.push_back(ended.task);
    }
    return report;
}

std::string WorkerModel::takeCheckpoint(Running& task)
{
    Checkpoint taken { task.start.task, static_cast<int64_t>(task.progress * 1000.0) };
    task.lastCheckpoint = taken.text();
    m_taskRecords[task.record].checkpoint = task.lastCheckpoint;
    return task.lastCheckpoint;
}

StopReply WorkerModel::stop(const TaskId& id, bool withCheckpoint, Instant now)
{
    advance(now);
    if (auto it = m_running.find(id); it != m_running.end()) {
        auto text = withCheckpoint ? takeCheckpoint(it->second) : std::string {};
        finish(id, withCheckpoint ? TaskOutcome::Evicted : TaskOutcome::Stopped, text, {}, m_nowMs);
    }
    auto it = m_ended.find(id);
    if (it == m_ended.end()) {
        reject({ .task = id }, "fenced", now);
        it = m_ended.find(id);
    }
    return { it->second.task, clockMs(now) };
}

absl::Status WorkerModel::throttle(const TaskId& id, int cpuPercent, Instant now)
{
    advance(now);
    if (cpuPercent < 1 || cpuPercent > 100)
        return absl::InvalidArgumentError("cpu_percent must lie in 1 to 100");
    auto it = m_running.find(id);
    if (it == m_running.end())
        return absl::NotFoundError("not_running");
    it->second.cpuShare = static_cast<double>(cpuPercent) / 100.0;
    return absl::OkStatus();
}

absl::StatusOr<std::string> WorkerModel::checkpoint(const TaskId& id, Instant now)
{
    advance(now);
    auto it = m_running.find(id);
    if (it == m_running.end())
        return absl::NotFoundError("not_running");
    return takeCheckpoint(it->second);
}

double WorkerModel::slowdownOf(std::string_view kind, const Running* self) const
{
    double slowdown = 1;
    auto capacity = static_cast<double>(std::max<int64_t>(m_options.capacity.cpuMillis, 1));
    for (const auto& [id, other] : m_running) {
        if (&other == self)
            continue;
        auto load = other.cpuShare * static_cast<double>(other.start.size.cpuMillis) / capacity;
        slowdown += m_interference.slowdown(kind, other.start.kind) * load;
    }
    return slowdown * m_slowFactor;
}

/// Returns the progress per millisecond, where 1 is the whole task.
double WorkerModel::progressRateOf(const Running& task) const
{
    if (task.start.isService)
        return 0;
    auto runMs = static_cast<double>(std::max<int64_t>(task.start.runMs, 1));
    return task.cpuShare / (runMs * slowdownOf(task.start.kind, &task));
}

/// Returns the local time of the next event of this task: its completion, its failure or the expiry of its lease.
int64_t WorkerModel::nextEventMs(const Running& task) const
{
    auto next = task.leaseUntilMs - m_options.clockOffsetMs;
    if (task.failsAtMs)
        next = std::min(next, *task.failsAtMs);
    auto rate = progressRateOf(task);
    if (rate <= 0)
        return next;
    auto target = task.start.kind == failingKind ? failingProgress : 1.0;
    auto wait = std::ceil(std::max(target - task.progress, 0.0) / rate);
    constexpr double maxWaitMs = 1e15;
    return std::min(next, m_nowMs + static_cast<int64_t>(std::min(wait, maxWaitMs)));
}

void WorkerModel::advanceProgress(int64_t localMs)
{
    auto elapsed = static_cast<double>(localMs - m_nowMs);
    std::vector<std::pair<Running*, double>> gains;
    for (auto& [id, task] : m_running)
        gains.emplace_back(&task, progressRateOf(task) * elapsed);
    for (auto& [task, gain] : gains)
        task->progress = std::min(task->progress + gain, 1.0);
    m_nowMs = localMs;
}

bool WorkerModel::endIfDue(const TaskId& id)
{
    // The tolerance covers the rounding errors of summed progress.
    static constexpr double complete = 1.0 - 1e-9;
    auto& task = m_running.at(id);
    if (task.failsAtMs && *task.failsAtMs <= m_nowMs) {
        finish(id, TaskOutcome::Failed, {}, "exec_failed", m_nowMs);
    } else if (task.start.kind == failingKind && task.progress >= failingProgress - 1e-9) {
        finish(id, TaskOutcome::Failed, {}, "always_fails", m_nowMs);
    } else if (!task.start.isService && task.progress >= complete) {
        finish(id, TaskOutcome::Completed, {}, "done", m_nowMs);
    } else if (task.leaseUntilMs - m_options.clockOffsetMs <= m_nowMs) {
        finish(id, TaskOutcome::Lost, task.lastCheckpoint, "lease_lapsed", m_nowMs);
    } else {
        return false;
    }
    return true;
}

void WorkerModel::advance(Instant now)
{
    auto target = now.time_since_epoch().count();
    if (m_nowMs == 0 && m_running.empty())
        m_nowMs = target;
    while (!m_running.empty()) {
        auto next = std::numeric_limits<int64_t>::max();
        for (const auto& [id, task] : m_running)
            next = std::min(next, nextEventMs(task));
        if (next > target)
            break;
        advanceProgress(std::max(next, m_nowMs));
        std::vector<TaskId> ids;
        for (const auto& [id, task] : m_running)
            ids.push_back(id);
        for (const auto& id : ids)
            endIfDue(id);
    }
    if (target > m_nowMs)
        advanceProgress(target);
}

void WorkerModel::finish(
    const TaskId& id, TaskOutcome outcome, std::string checkpointText, std::string result, int64_t endMs)
{
    static constexpr std::array<const char*, 6> names { "completed", "failed", "evicted", "lost", "refused",
        "stopped" };
    auto it = m_running.find(id);
    VERIFY(it != m_running.end());
    auto& record = m_taskRecords[it->second.record];
    record.endMs = endMs;
    record.outcome = names.at(static_cast<size_t>(outcome));
    m_ended[id] = { .task = { id, outcome, std::move(checkpointText), std::move(result) },
        .hasStarted = true,
        .record = it->second.record };
    m_running.erase(it);
}

Resources WorkerModel::usageOf(const Running& task) const
{
    if (m_nowMs - task.startedMs < usageReportLagMs)
        return {};
    auto share = minUsageShare + (maxUsageShare - minUsageShare) * m_interference.fraction(task.start.task.job);
    auto scale = [share](int64_t amount, double limit) {
        return static_cast<int64_t>(static_cast<double>(amount) * share * limit);
    };
    return { scale(task.start.size.cpuMillis, task.cpuShare), scale(task.start.size.memoryMb, 1.0),
        task.start.size.accelerators };
}

absl::StatusOr<WorkerModel::AdmittedRequest> WorkerModel::beginRequest(const ServiceCall& call, Instant now)
{
    advance(now);
    auto it = std::ranges::find(m_slots, false, &Slot::isBusy);
    if (it == m_slots.end())
        return absl::ResourceExhaustedError("no_slot");
    it->isBusy = true;
    it->record.reset();
    if (m_options.keepExecutionRecords) {
        it->record = m_executionRecords.size();
        m_executionRecords.push_back({ .requestId = call.requestId,
            .key = call.key,
            .nonIdempotent = call.nonIdempotent,
            .digest = call.digest,
            .worker = m_options.id,
            .zone = m_options.zone,
            .startMs = m_nowMs });
    }
    m_record.highestSlots = std::max(m_record.highestSlots, std::ranges::count(m_slots, true, &Slot::isBusy));
    auto timeMs = m_options.serviceMedianMs * m_serviceTime(m_random) * slowdownOf(call.service, nullptr);
    return AdmittedRequest { static_cast<size_t>(it - m_slots.begin()),
        std::chrono::microseconds(static_cast<int64_t>(timeMs * 1000.0)) };
}

void WorkerModel::endRequest(size_t slot, Instant now)
{
    advance(now);
    auto& used = m_slots.at(slot);
    used.isBusy = false;
    if (used.record)
        m_executionRecords[*used.record].endMs = m_nowMs;
}

void WorkerModel::loseEverything(Instant now)
{
    advance(now);
    while (!m_running.empty())
        finish(m_running.begin()->first, TaskOutcome::Lost, {}, "worker_died", m_nowMs);
    for (auto& [id, ended] : m_ended)
        ended.acknowledged = true;
}

void WorkerModel::restart(Instant now)
{
    loseEverything(now);
    m_ended.clear();
    m_highestAttempt.clear();
}

void WorkerModel::setSlowFactor(double factor, Instant now)
{
    advance(now);
    m_slowFactor = std::max(factor, 0.01);
}

void WorkerModel::recordConnections(int64_t inUse)
{
    m_record.highestConnections = std::max(m_record.highestConnections, inUse);
}

}
