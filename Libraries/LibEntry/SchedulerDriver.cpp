#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibEntry/SchedulerDriver.h>
#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace Bergamot {

static constexpr Milliseconds decisionInterval { 100 };
static constexpr Milliseconds replicaCheckInterval { 1000 };
static constexpr Milliseconds hostCheckInterval { 500 };
static constexpr std::string_view servicesTeam = "services";

SchedulerDriver::SchedulerDriver(
    Options options, LogStream& region, Membership& membership, Dispatcher& dispatcher, const HostListWatcher& hosts)
    : m_options(options)
    , m_region(region)
    , m_membership(membership)
    , m_dispatcher(dispatcher)
    , m_hosts(hosts)
    , m_lossDetector(region, membership, dispatcher)
{
}

void SchedulerDriver::logIfRejected(const absl::Status& status, std::string_view input)
{
    if (!status.ok())
        logWarning("scheduler_input_refused", { { "input", input }, { "error", statusText(status) } });
}

void SchedulerDriver::setConfig(std::shared_ptr<const SiteConfig> config)
{
    m_config = std::move(config);
    std::set<std::string> singleRunKinds;
    for (const auto& kind : m_config->kinds) {
        if (kind.singleRun)
            singleRunKinds.insert(kind.name);
    }
    m_lossDetector.setSingleRunKinds(std::move(singleRunKinds));
    if (m_scheduler)
        defineKindsAndTeams();
}

static AttemptOutcome toAttemptOutcome(const TaskEnded& ended)
{
    if (ended.crashedTasks > 0 && ended.outcome != TaskOutcome::Completed)
        return ended.crashedTasks == 1 ? AttemptOutcome::Crashed : AttemptOutcome::CrashedInCompany;
    switch (ended.outcome) {
    case TaskOutcome::Completed:
        return AttemptOutcome::Completed;
    case TaskOutcome::Failed:
        return AttemptOutcome::Failed;
    case TaskOutcome::Evicted:
        return AttemptOutcome::Evicted;
    case TaskOutcome::Lost:
        return AttemptOutcome::Lost;
    case TaskOutcome::Refused:
        return AttemptOutcome::Refused;
    case TaskOutcome::Stopped:
        return AttemptOutcome::Stopped;
    }
    return AttemptOutcome::Lost;
}

static RevokeReason toRevokeReason(EvictReason reason)
{
    switch (reason) {
    case EvictReason::ZoneOut:
        return RevokeReason::ZoneOut;
    case EvictReason::Draining:
        return RevokeReason::HostDrain;
    case EvictReason::Cancelled:
        return RevokeReason::Cancelled;
    default:
        return RevokeReason::Eviction;
    }
}

void SchedulerDriver::defineKindsAndTeams()
{
    logIfRejected(m_scheduler->defineTeam({ .name = std::string(servicesTeam), .mayBorrow = true }), "team");
    if (!m_config)
        return;
    for (const auto& service : m_config->services) {
        logIfRejected(m_scheduler->defineKind({ .name = service.name,
                          .isService = true,
                          .priority = service.priority,
                          .latencyTargetMs = service.latencyTarget.count() }),
            "service");
    }
    for (const auto& kind : m_config->kinds) {
        logIfRejected(m_scheduler->defineKind({ .name = kind.name,
                          .yieldsTo = kind.yieldsTo,
                          .priority = kind.priority,
                          .maxAttempts = static_cast<uint32_t>(kind.maxAttempts) }),
            "kind");
    }
    for (const auto& team : m_config->teams) {
        logIfRejected(m_scheduler->defineTeam({ .name = team.name,
                          .weight = static_cast<double>(team.weight),
                          .quota = team.quota,
                          .mayBorrow = team.mayBorrow }),
            "team");
    }
}

void SchedulerDriver::updateWorkerInScheduler(const WorkerId& id)
{
    const auto* worker = m_region.state().findWorker(id);
    if (!worker) {
        logIfRejected(m_scheduler->removeWorker(id), "worker removal");
        return;
    }
    auto state = WorkerState::Live;
    if (worker->spec.leaving || worker->spec.gone)
        state = WorkerState::Leaving;
    else if (worker->draining)
        state = WorkerState::Draining;
    logIfRejected(m_scheduler->upsertWorker({ .id = id,
                      .zone = worker->spec.zone,
                      .rack = worker->spec.rack,
                      .capacity = worker->spec.capacity,
                      .state = state }),
        "worker");
}

void SchedulerDriver::submitJobToScheduler(const JobState& job)
{
    logIfRejected(m_scheduler->submitJob({ .id = job.spec.job,
                      .kind = job.spec.kind,
                      .team = job.spec.isService ? std::string(servicesTeam) : job.spec.team,
                      .size = job.spec.size,
                      .runMs = job.spec.runMs,
                      .priority = job.spec.priority,
                      .urgent = job.spec.urgent,
                      .isService = job.spec.isService,
                      .crashes = job.crashes,
                      .crashesAlone = job.crashesAlone }),
        "job");
}

void SchedulerDriver::rebuildScheduler(Instant now)
{
    m_schedulerEpoch = m_membership.epoch();
    m_lossDetector.reset();
    auto scheduler = BatchScheduler::create({ .seed = m_options.seed, .oneReplicaPerWorker = true });
    if (!scheduler.ok()) {
        logIfRejected(scheduler.status(), "scheduler options");
        return;
    }
    m_scheduler = std::move(*scheduler);
    logIfRejected(m_scheduler->tick(now).status(), "first tick");
    defineKindsAndTeams();
    const auto& image = m_region.state().image();
    for (const auto& zone : image.zonesOut)
        logIfRejected(m_scheduler->setZoneOut(zone, true), "zone");
    for (const auto& [id, worker] : image.workers)
        updateWorkerInScheduler(id);
    for (const auto& [id, job] : image.jobs) {
        if (job.hasEnded())
            continue;
        submitJobToScheduler(job);
        if (job.holdsCommitment())
            logIfRejected(m_scheduler->taskPlaced(id, job.attempt, job.worker), "placed task");
        if (job.phase == JobPhase::Revoking)
            logIfRejected(m_scheduler->taskRevoking(id, job.attempt), "revoked task");
    }
    logInfo("scheduler_built", { { "epoch", m_schedulerEpoch }, { "jobs", image.jobs.size() } });
}

/// Updates the scheduler from one record of an applied batch. Ignores record types that do not affect scheduling.
struct SchedulerDriver::RecordApplier {
    SchedulerDriver& driver;
    BatchScheduler& scheduler;
    bool isAccepted;
    bool isOwnBatch;

    template <typename Other> void operator()(const Other&) { }

    void operator()(const WorkerListed& record)
    {
        if (isAccepted)
            driver.updateWorkerInScheduler(record.worker);
    }
    void operator()(const WorkerDrainChanged& record)
    {
        if (isAccepted)
            driver.updateWorkerInScheduler(record.worker);
    }
    void operator()(const ZoneChanged& record)
    {
        if (isAccepted)
            driver.logIfRejected(scheduler.setZoneOut(record.zone, record.out), "zone");
    }
    void operator()(const JobSubmitted& record)
    {
        if (const auto* job = driver.m_region.state().findJob(record.job); isAccepted && job)
            driver.submitJobToScheduler(*job);
    }
    void operator()(const JobCancelled& record)
    {
        if (isAccepted)
            driver.logIfRejected(scheduler.cancelJob(record.job), "cancellation");
    }
    void operator()(const TaskIntent& record)
    {
        if (isAccepted)
            driver.logIfRejected(scheduler.taskPlaced(record.job, record.attempt, record.worker), "placed task");
        else if (isOwnBatch)
            driver.logIfRejected(scheduler.placementDropped(record.job), "dropped placement");
    }
    void operator()(const TaskRevoked& record)
    {
        if (isAccepted)
            driver.logIfRejected(scheduler.taskRevoking(record.job, record.attempt), "revoked task");
    }
    void operator()(const JobFailed& record)
    {
        if (isAccepted)
            driver.logIfRejected(scheduler.jobEnded(record.job), "failed job");
    }
};

void SchedulerDriver::batchApplied(const RecordBatch& batch, const ApplyResult& result)
{
    if (!m_scheduler || !m_membership.isLeader() || m_schedulerEpoch != m_membership.epoch())
        return;
    bool isOwnBatch = m_membership.isLeader() && batch.member == m_region.state().image().leader.member;
    for (size_t i = 0; i < batch.records.size(); ++i) {
        bool isAccepted = result.statuses[i].ok();
        if (const auto* ended = std::get_if<TaskEnded>(&batch.records[i])) {
            if (isAccepted)
                logIfRejected(m_scheduler->taskEnded(
                                  ended->job, ended->attempt, toAttemptOutcome(*ended), result.findReleasedWorker(i)),
                    "ended task");
            continue;
        }
        std::visit(RecordApplier { *this, *m_scheduler, isAccepted, isOwnBatch }, batch.records[i]);
    }
}

/// Appends the record for one decision, or sends the throttle request for it.
struct SchedulerDriver::DecisionRecorder {
    SchedulerDriver& driver;
    uint64_t epoch;

    void submit(Record record) const { driver.m_region.appends().submit(std::move(record)); }

    void operator()(const PlaceTask& decision) const
    {
        const auto* job = driver.m_region.state().findJob(decision.job);
        if (!job) {
            driver.logIfRejected(driver.m_scheduler->placementDropped(decision.job), "dropped placement");
            return;
        }
        submit(
            TaskIntent { .epoch = epoch, .job = decision.job, .attempt = job->attempt + 1, .worker = decision.worker });
    }
    void operator()(const EvictTask& decision) const
    {
        const auto* job = driver.m_region.state().findJob(decision.job);
        if (!job || job->phase != JobPhase::Placed)
            return;
        submit(TaskRevoked {
            .epoch = epoch, .job = decision.job, .attempt = job->attempt, .reason = toRevokeReason(decision.reason) });
    }
    void operator()(const ThrottleTask& decision) const
    {
        const auto* job = driver.m_region.state().findJob(decision.job);
        if (job && job->phase == JobPhase::Placed)
            driver.m_dispatcher.throttle(*job, decision.speedPercent);
    }
    void operator()(const QuarantineWorker& decision) const
    {
        logWarning("worker_quarantine", { { "worker", decision.worker }, { "quarantined", decision.quarantined } });
        submit(WorkerQuarantined { .epoch = epoch, .worker = decision.worker, .quarantined = decision.quarantined });
    }
    void operator()(const FailJob& decision) const
    {
        logInfo("job_failed", { { "job", decision.job }, { "reason", decision.reason } });
        submit(JobFailed { .epoch = epoch, .job = decision.job, .reason = decision.reason });
    }
};

void SchedulerDriver::tick(Instant now)
{
    if (!m_membership.isLeader()) {
        m_scheduler.reset();
        return;
    }
    if (!m_scheduler || m_schedulerEpoch != m_membership.epoch())
        rebuildScheduler(now);
    recordHostChanges(now);
    ensureServiceReplicas(now);
    m_lossDetector.tick(now);
    // A leader that cannot append or read the log makes no decisions: its state is stale, and queued decisions would be
    // outdated when they are appended.
    if (!m_scheduler || now < m_nextDecision || m_region.appends().isStalled(now)
        || !m_membership.renewalAuthority().hasFreshLog(now))
        return;
    m_nextDecision = now + decisionInterval;
    auto decisions = m_scheduler->tick(now);
    if (!decisions.ok()) {
        logIfRejected(decisions.status(), "tick");
        return;
    }
    m_decisionCount += decisions->size();
    for (const auto& decision : *decisions)
        std::visit(DecisionRecorder { *this, m_membership.epoch() }, decision);
}

void SchedulerDriver::recordHostChanges(Instant now)
{
    if (!m_hosts.hasList() || now < m_nextHostCheck)
        return;
    m_nextHostCheck = now + hostCheckInterval;
    const auto& workers = m_region.state().image().workers;
    for (const auto& [id, host] : m_hosts.hosts()) {
        WorkerListed record { .epoch = m_membership.epoch(),
            .worker = id,
            .address = host.address,
            .zone = host.zone,
            .rack = host.rack,
            .capacity = host.capacity,
            .leaving = host.leaving };
        auto it = workers.find(id);
        if (it != workers.end()) {
            auto recordedSpec = it->second.spec;
            recordedSpec.epoch = record.epoch;
            if (recordedSpec == record)
                continue;
        }
        m_region.appends().submit(record);
    }
    for (const auto& [id, worker] : workers) {
        if (m_hosts.hosts().contains(id) || worker.spec.gone)
            continue;
        auto record = worker.spec;
        record.epoch = m_membership.epoch();
        record.gone = true;
        m_region.appends().submit(record);
    }
}

// A service with `replicas = 0` gets one replica for each worker; the scheduler places each on a different worker.
void SchedulerDriver::ensureServiceReplicas(Instant now)
{
    if (!m_config || now < m_nextReplicaCheck)
        return;
    m_nextReplicaCheck = now + replicaCheckInterval;
    const auto& image = m_region.state().image();
    std::set<JobId> configuredReplicas;
    for (const auto& service : m_config->services) {
        auto count = service.replicas > 0 ? service.replicas : static_cast<int64_t>(image.workers.size());
        for (int64_t i = 0; i < count; ++i) {
            auto id = fmt::format("svc-{}-{}", service.name, i);
            configuredReplicas.insert(id);
            if (image.jobs.contains(id))
                continue;
            m_region.appends().submit(JobSubmitted { .job = id,
                .kind = service.name,
                .team = std::string(servicesTeam),
                .size = service.replica,
                .priority = service.priority,
                .isService = true });
        }
    }
    for (const auto& [id, job] : image.jobs) {
        if (job.spec.isService && !job.hasEnded() && !job.cancelRequested && !configuredReplicas.contains(id))
            m_region.appends().submit(JobCancelled { .job = id });
    }
}

void SchedulerDriver::usageReported(const WorkerId& worker, const LeaseReport& report)
{
    if (!m_scheduler)
        return;
    std::vector<UsageSample> samples;
    for (const auto& usage : report.running) {
        samples.push_back({ .job = usage.task.job,
            .attempt = usage.task.attempt,
            .used = usage.used,
            .progressPerMille = usage.progressPerMille });
    }
    logIfRejected(m_scheduler->reportUsage(worker, samples), "usage");
}

void SchedulerDriver::latencyReported(const std::string& service, const WorkerId& worker, double load, double ratio)
{
    if (m_scheduler)
        logIfRejected(m_scheduler->reportLatency(service, worker, load, ratio), "latency");
}

absl::StatusOr<std::vector<std::string>> SchedulerDriver::whyWaiting(const JobId& job) const
{
    if (!m_scheduler)
        return absl::FailedPreconditionError("another member leads");
    auto reasons = m_scheduler->whyWaiting(job);
    if (!reasons.ok())
        return reasons.status();
    std::vector<std::string> result;
    for (const auto& reason : *reasons)
        result.push_back(reason.detail);
    return result;
}

}
