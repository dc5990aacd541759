#include <LibDecision/BatchScheduler.h>
#include <LibDecision/BatchSchedulerImpl.h>
#include <LibDecision/InterferenceModel.h>

namespace Bergamot {

absl::StatusOr<std::unique_ptr<BatchScheduler>> BatchScheduler::create(
    const SchedulerOptions& options, std::unique_ptr<SlowdownEstimator> estimator)
{
    bool arePeriodsValid = options.reportLag.count() >= 0 && options.decisionRetryInterval.count() > 0
        && options.checkpointTimeout.count() > 0 && options.urgentCheckpointTimeout.count() > 0
        && options.reserveAfter.count() >= 0;
    bool areBudgetsValid = options.latencyBudget > 0 && options.latencyLimit >= options.latencyBudget
        && options.evictionsPerWorkerHour >= 0 && options.maxRestartsPerSecond > 0;
    if (!arePeriodsValid || !areBudgetsValid || options.maxPlacementsPerTick == 0 || options.maxEvictionsPerTick == 0)
        return absl::InvalidArgumentError("scheduler options are out of range");
    if (!estimator)
        estimator = std::make_unique<InterferenceModel>();
    auto impl = std::make_unique<Impl>(options, std::move(estimator));
    return std::unique_ptr<BatchScheduler>(new BatchScheduler(std::move(impl)));
}

BatchScheduler::BatchScheduler(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

BatchScheduler::~BatchScheduler() = default;

absl::Status BatchScheduler::upsertWorker(const WorkerView& worker) { return m_impl->upsertWorker(worker); }
absl::Status BatchScheduler::removeWorker(const WorkerId& worker) { return m_impl->removeWorker(worker); }
absl::Status BatchScheduler::setZoneOut(const ZoneId& zone, bool out) { return m_impl->setZoneOut(zone, out); }
absl::Status BatchScheduler::defineKind(const KindView& kind) { return m_impl->defineKind(kind); }
absl::Status BatchScheduler::defineTeam(const TeamView& team) { return m_impl->defineTeam(team); }
absl::Status BatchScheduler::submitJob(const JobView& job) { return m_impl->submitJob(job); }
absl::Status BatchScheduler::cancelJob(const JobId& job) { return m_impl->cancelJob(job); }
absl::Status BatchScheduler::jobEnded(const JobId& job) { return m_impl->jobEnded(job); }

absl::Status BatchScheduler::taskPlaced(const JobId& job, uint32_t attempt, const WorkerId& worker)
{
    return m_impl->taskPlaced(job, attempt, worker);
}

absl::Status BatchScheduler::placementDropped(const JobId& job) { return m_impl->placementDropped(job); }

absl::Status BatchScheduler::taskRevoking(const JobId& job, uint32_t attempt)
{
    return m_impl->taskRevoking(job, attempt);
}

absl::Status BatchScheduler::taskEnded(
    const JobId& job, uint32_t attempt, AttemptOutcome outcome, const WorkerId& worker)
{
    return m_impl->taskEnded(job, attempt, outcome, worker);
}

absl::Status BatchScheduler::reportUsage(const WorkerId& worker, const std::vector<UsageSample>& samples)
{
    return m_impl->reportUsage(worker, samples);
}

absl::Status BatchScheduler::reportLatency(
    const std::string& serviceKind, const WorkerId& worker, double load, double latencyRatio)
{
    return m_impl->reportLatency(serviceKind, worker, load, latencyRatio);
}

absl::StatusOr<std::vector<Decision>> BatchScheduler::tick(Instant now) { return m_impl->tick(now); }

absl::StatusOr<std::vector<WaitReason>> BatchScheduler::whyWaiting(const JobId& job) const
{
    return m_impl->whyWaiting(job);
}

absl::StatusOr<KindIndex> BatchScheduler::kindIndex(const std::string& kind) const { return m_impl->kindIndex(kind); }
size_t BatchScheduler::pendingJobs() const { return m_impl->pendingJobs(); }
size_t BatchScheduler::stateBytes() const { return m_impl->stateBytes(); }

}
