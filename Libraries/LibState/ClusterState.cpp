#include <LibCore/Verify.h>
#include <LibState/ClusterState.h>
#include <algorithm>
#include <exception>
#include <fmt/format.h>

namespace Bergamot {

struct ClusterState::Sender {
    const MemberId& member;
    uint64_t incarnation;
};

static absl::Status rejectRecord(std::string reason) { return absl::FailedPreconditionError(reason); }

/// Checks one record against the state and applies it when it is valid.
struct ClusterState::Applier {
    ClusterState& owner;
    StateImage& state;
    Sender sender;
    LogPosition position;
    WorkerId releasedWorker {};

    absl::Status requireLeader(uint64_t epoch) const
    {
        if (epoch != state.leader.epoch || sender.member != state.leader.member
            || sender.incarnation != state.leader.incarnation)
            return rejectRecord(
                fmt::format("epoch {} of member {} is not the current leadership", epoch, sender.member));
        return absl::OkStatus();
    }

    /// Returns an error unless the sender leads `epoch`; otherwise updates the time of the leader's last record.
    absl::Status recordLeaderActivity(uint64_t epoch)
    {
        if (auto status = requireLeader(epoch); !status.ok())
            return status;
        state.leader.lastRecordAtMs = state.logTimeMs;
        return absl::OkStatus();
    }

    JobState* findJob(const JobId& id)
    {
        auto it = state.jobs.find(id);
        return it == state.jobs.end() ? nullptr : &it->second;
    }

    WorkerInfo* findWorker(const WorkerId& id)
    {
        auto it = state.workers.find(id);
        return it == state.workers.end() ? nullptr : &it->second;
    }

    void setPhase(JobState& job, JobPhase phase) const
    {
        if (job.phase == JobPhase::Revoking)
            owner.m_revokingJobs.erase(job.spec.job);
        if (phase == JobPhase::Revoking)
            owner.m_revokingJobs.insert(job.spec.job);
        job.phase = phase;
        job.changedAtMs = state.logTimeMs;
        job.changedAt = position;
        if (job.hasEnded())
            owner.indexEndedJob(job);
    }

    void releaseCommitment(JobState& job)
    {
        auto* worker = findWorker(job.worker);
        VERIFY(worker && worker->jobs.contains(job.spec.job));
        worker->jobs.erase(job.spec.job);
        worker->committed = worker->committed - job.spec.size;
        VERIFY(worker->committed.isValid());
        releasedWorker = job.worker;
        job.worker.clear();
        if (worker->spec.gone && worker->jobs.empty())
            state.workers.erase(worker->spec.worker);
    }

    absl::Status operator()(const MemberJoined& record)
    {
        if (record.member.empty() || record.member != sender.member || record.incarnation != sender.incarnation)
            return rejectRecord("a member can announce only itself and its own incarnation");
        auto it = state.members.find(record.member);
        if (it != state.members.end() && it->second.spec.incarnation >= record.incarnation)
            return rejectRecord("the same or a newer incarnation has already joined");
        // A restarted member stays a voter, since its former process has ended. The first member of an empty cluster
        // is a voter from the start.
        bool voter = it == state.members.end() ? state.members.empty() : it->second.voter;
        state.members[record.member]
            = { .spec = record, .joinedAtMs = state.logTimeMs, .joinedAt = position, .voter = voter };
        if (it == state.members.end() && voter)
            state.votersChangedAt = position;
        return absl::OkStatus();
    }

    absl::Status operator()(const MemberAdmitted& record)
    {
        if (auto status = recordLeaderActivity(record.epoch); !status.ok())
            return status;
        auto it = state.members.find(record.member);
        if (it == state.members.end() || it->second.spec.incarnation != record.incarnation || it->second.voter)
            return rejectRecord("no member of this incarnation awaits admission");
        it->second.voter = true;
        state.votersChangedAt = position;
        return absl::OkStatus();
    }

    absl::Status operator()(const MembershipReset& record)
    {
        if (auto status = recordLeaderActivity(record.epoch); !status.ok())
            return status;
        for (auto& [id, member] : state.members)
            member.voter = id == sender.member;
        state.votersChangedAt = position;
        state.membershipResetAtMs = state.logTimeMs;
        return absl::OkStatus();
    }

    absl::Status operator()(const MemberRemoved& record)
    {
        auto it = state.members.find(record.member);
        if (it == state.members.end() || it->second.spec.incarnation != record.incarnation)
            return rejectRecord("unknown member or incarnation");
        if (auto status = recordLeaderActivity(record.epoch); !status.ok())
            return status;
        if (it->second.voter)
            state.votersChangedAt = position;
        state.members.erase(it);
        return absl::OkStatus();
    }

    absl::Status operator()(const LeaderClaimed& record)
    {
        if (record.epoch != state.leader.epoch + 1)
            return rejectRecord(
                fmt::format("epoch {} does not follow the current epoch {}", record.epoch, state.leader.epoch));
        auto it = state.members.find(sender.member);
        if (it == state.members.end() || it->second.spec.incarnation != sender.incarnation)
            return rejectRecord("only a member can claim leadership");
        state.leader = { .epoch = record.epoch,
            .member = sender.member,
            .incarnation = sender.incarnation,
            .lastRecordAtMs = state.logTimeMs };
        return absl::OkStatus();
    }

    absl::Status operator()(const LeaderKeepalive& record) { return recordLeaderActivity(record.epoch); }

    absl::Status operator()(const WorkerListed& record)
    {
        if (auto status = recordLeaderActivity(record.epoch); !status.ok())
            return status;
        if (record.worker.empty() || !record.capacity.isValid())
            return rejectRecord("the worker id is empty or the capacity is invalid");
        auto& worker = state.workers[record.worker];
        worker.spec = record;
        if (record.gone && worker.jobs.empty())
            state.workers.erase(record.worker);
        return absl::OkStatus();
    }

    absl::Status operator()(const WorkerQuarantined& record)
    {
        if (auto status = recordLeaderActivity(record.epoch); !status.ok())
            return status;
        auto* worker = findWorker(record.worker);
        if (!worker)
            return rejectRecord("unknown worker");
        worker->quarantined = record.quarantined;
        return absl::OkStatus();
    }

    absl::Status operator()(const ZoneChanged& record)
    {
        if (record.zone.empty())
            return rejectRecord("the zone id is empty");
        if (record.out)
            state.zonesOut.insert(record.zone);
        else
            state.zonesOut.erase(record.zone);
        return absl::OkStatus();
    }

    absl::Status operator()(const WorkerDrainChanged& record)
    {
        auto* worker = findWorker(record.worker);
        if (!worker)
            return rejectRecord("unknown worker");
        worker->draining = record.draining;
        return absl::OkStatus();
    }

    absl::Status operator()(const JobSubmitted& record)
    {
        if (record.job.empty() || !record.size.isValid() || record.runMs < 0)
            return rejectRecord("the job id is empty, or the size or run time is invalid");
        if (findJob(record.job))
            return rejectRecord("a job with this id already exists");
        if (!record.requestKey.empty() && owner.m_jobsByKey.contains(record.requestKey))
            return rejectRecord("a job with this request key already exists");
        state.jobs.emplace(record.job,
            JobState {
                .spec = record,
                .submittedAtMs = state.logTimeMs,
                .changedAtMs = state.logTimeMs,
                .changedAt = position,
            });
        if (!record.requestKey.empty())
            owner.m_jobsByKey.emplace(record.requestKey, record.job);
        return absl::OkStatus();
    }

    absl::Status operator()(const JobCancelled& record)
    {
        auto* job = findJob(record.job);
        if (!job || job->hasEnded())
            return rejectRecord("the job is unknown or has ended");
        if (job->holdsCommitment())
            job->cancelRequested = true;
        else
            setPhase(*job, JobPhase::Cancelled);
        return absl::OkStatus();
    }

    absl::Status operator()(const JobFailed& record)
    {
        if (auto status = recordLeaderActivity(record.epoch); !status.ok())
            return status;
        auto* job = findJob(record.job);
        if (!job || job->phase != JobPhase::Pending)
            return rejectRecord("the job is unknown or not pending");
        job->result = record.reason;
        setPhase(*job, JobPhase::Failed);
        return absl::OkStatus();
    }

    absl::Status checkAcceptsTasks(const WorkerInfo* worker) const
    {
        if (!worker || worker->spec.gone || worker->spec.leaving || worker->draining)
            return rejectRecord("the worker is unknown, gone, leaving or draining");
        if (state.zonesOut.contains(worker->spec.zone))
            return rejectRecord("the zone of the worker is out of service");
        return absl::OkStatus();
    }

    absl::Status operator()(const TaskIntent& record)
    {
        if (auto status = recordLeaderActivity(record.epoch); !status.ok())
            return status;
        auto* job = findJob(record.job);
        if (!job || job->phase != JobPhase::Pending || record.attempt != job->attempt + 1)
            return rejectRecord("the job is unknown or not pending, or this is not its next attempt");
        auto* worker = findWorker(record.worker);
        if (auto status = checkAcceptsTasks(worker); !status.ok())
            return status;
        auto committed = worker->committed + job->spec.size;
        if (!committed.fitsIn(worker->spec.capacity))
            return rejectRecord("insufficient resources on the worker");
        worker->committed = committed;
        worker->jobs.insert(record.job);
        job->attempt = record.attempt;
        job->worker = record.worker;
        setPhase(*job, JobPhase::Placed);
        VERIFY(worker->committed.fitsIn(worker->spec.capacity));
        return absl::OkStatus();
    }

    absl::Status operator()(const TaskRevoked& record)
    {
        if (auto status = recordLeaderActivity(record.epoch); !status.ok())
            return status;
        auto* job = findJob(record.job);
        if (!job || job->phase != JobPhase::Placed || job->attempt != record.attempt)
            return rejectRecord("the attempt is not placed");
        job->revokeReason = record.reason;
        setPhase(*job, JobPhase::Revoking);
        return absl::OkStatus();
    }

    absl::Status operator()(const TaskEnded& record)
    {
        if (record.outcome == TaskOutcome::Lost) {
            if (auto status = recordLeaderActivity(record.epoch); !status.ok())
                return status;
        }
        auto* job = findJob(record.job);
        if (!job || !job->holdsCommitment() || job->attempt != record.attempt)
            return rejectRecord("the attempt holds no resources");
        releaseCommitment(*job);
        // Without a new checkpoint, the last recorded one remains valid.
        if (!record.checkpoint.empty())
            job->checkpoint = record.checkpoint;
        if (record.outcome == TaskOutcome::Completed) {
            job->result = record.result;
            setPhase(*job, JobPhase::Completed);
            return absl::OkStatus();
        }
        if (record.outcome == TaskOutcome::Failed)
            ++job->failures;
        if (record.outcome == TaskOutcome::Evicted || record.outcome == TaskOutcome::Lost)
            ++job->evictions;
        job->recordCrash(record.crashedTasks);
        setPhase(*job, job->cancelRequested ? JobPhase::Cancelled : JobPhase::Pending);
        return absl::OkStatus();
    }

    absl::Status operator()(const RequestClaimed& record)
    {
        if (record.key.empty())
            return rejectRecord("the request key is empty");
        auto [it, inserted] = state.claims.try_emplace(record.key,
            RequestClaim {
                .member = sender.member,
                .incarnation = sender.incarnation,
                .digest = record.digest,
                .claimedAtMs = state.logTimeMs,
            });
        if (!inserted)
            return rejectRecord("the request is already claimed");
        owner.m_claimTimes.emplace_back(state.logTimeMs, record.key);
        return absl::OkStatus();
    }

    absl::Status operator()(const RequestFinished& record)
    {
        auto it = state.claims.find(record.key);
        if (it == state.claims.end() || it->second.finished || it->second.member != sender.member
            || it->second.incarnation != sender.incarnation)
            return rejectRecord("the request is already finished or not claimed by the sender");
        // Status 0 means that the request was never dispatched; the claim is released so that a retry can claim it
        // again.
        if (record.status == 0) {
            state.claims.erase(it);
            return absl::OkStatus();
        }
        it->second.finished = true;
        it->second.status = record.status;
        it->second.body = record.body;
        return absl::OkStatus();
    }

    absl::Status operator()(const TermsRenewed& record)
    {
        auto it = state.terms.find(record.client);
        uint32_t last = it == state.terms.end() ? 0 : it->second.current.renewal;
        if (record.client.empty() || record.renewal != last + 1)
            return rejectRecord("the client id is empty, or the renewal does not follow the client's last renewal");
        if (record.basedOn != state.termsChangedAt)
            return rejectRecord("the renewal is not based on the last renewal of any client");
        if (record.requestsPerSecond < 0 || record.concurrency < 0)
            return rejectRecord("the terms are negative");
        state.terms[record.client] = { .current = record, .renewedAtMs = state.logTimeMs };
        state.termsChangedAt = position;
        return absl::OkStatus();
    }

    absl::Status operator()(const ConfigPublished& record)
    {
        if (record.basedOn != state.config.version || record.version != record.basedOn + 1)
            return rejectRecord(
                fmt::format("the new version does not follow version {}, which is in force", state.config.version));
        state.config = record;
        return absl::OkStatus();
    }

    absl::Status operator()(const SnapshotBegin&)
    {
        return rejectRecord("snapshot records are valid only in the snapshot stream");
    }
    absl::Status operator()(const SnapshotChunk&)
    {
        return rejectRecord("snapshot records are valid only in the snapshot stream");
    }
};

ApplyResult ClusterState::apply(const RecordBatch& batch, LogPosition position, int64_t logTimeMs)
{
    m_image.position = position + 1;
    m_image.logTimeMs = std::max(m_image.logTimeMs, logTimeMs);
    auto& sequence = m_image.sequences[{ batch.member, batch.incarnation }];
    if (batch.sequence <= sequence)
        return { .duplicate = true };
    sequence = batch.sequence;
    Applier applier { *this, m_image, { batch.member, batch.incarnation }, position };
    ApplyResult result;
    result.statuses.reserve(batch.records.size());
    for (size_t i = 0; i < batch.records.size(); ++i) {
        applier.releasedWorker.clear();
        result.statuses.push_back(std::visit(applier, batch.records[i]));
        if (!applier.releasedWorker.empty())
            result.releasedWorkers.emplace(i, applier.releasedWorker);
    }
    prune();
    return result;
}

void ClusterState::skip(LogPosition position) { m_image.position = std::max(m_image.position, position + 1); }

const JobState* ClusterState::findJob(const JobId& id) const
{
    auto it = m_image.jobs.find(id);
    return it == m_image.jobs.end() ? nullptr : &it->second;
}

const WorkerInfo* ClusterState::findWorker(const WorkerId& id) const
{
    auto it = m_image.workers.find(id);
    return it == m_image.workers.end() ? nullptr : &it->second;
}

const JobState* ClusterState::findJobByKey(const std::string& requestKey) const
{
    auto it = m_jobsByKey.find(requestKey);
    return it == m_jobsByKey.end() ? nullptr : findJob(it->second);
}

void ClusterState::indexEndedJob(const JobState& job) { m_endedJobs.emplace_back(job.changedAtMs, job.spec.job); }

// Uses only log time, so that all processes remove the same entries at the same log position.
void ClusterState::prune()
{
    auto oldest = m_image.logTimeMs - deduplicationWindowMs;
    while (!m_endedJobs.empty() && m_endedJobs.front().first < oldest) {
        auto it = m_image.jobs.find(m_endedJobs.front().second);
        VERIFY(it != m_image.jobs.end());
        m_jobsByKey.erase(it->second.spec.requestKey);
        m_image.jobs.erase(it);
        m_endedJobs.pop_front();
    }
    while (!m_claimTimes.empty() && m_claimTimes.front().first < oldest) {
        // A claim that was released and made again is younger than its first entry in m_claimTimes.
        auto it = m_image.claims.find(m_claimTimes.front().second);
        if (it != m_image.claims.end() && it->second.claimedAtMs < oldest)
            m_image.claims.erase(it);
        m_claimTimes.pop_front();
    }
}

void ClusterState::rebuildIndexes()
{
    for (const auto& [id, job] : m_image.jobs) {
        if (!job.spec.requestKey.empty())
            m_jobsByKey.emplace(job.spec.requestKey, id);
        if (job.phase == JobPhase::Revoking)
            m_revokingJobs.insert(id);
        if (job.hasEnded())
            m_endedJobs.emplace_back(job.changedAtMs, id);
    }
    for (const auto& [key, claim] : m_image.claims)
        m_claimTimes.emplace_back(claim.claimedAtMs, key);
    std::ranges::sort(m_endedJobs);
    std::ranges::sort(m_claimTimes);
}

std::string ClusterState::encodeSnapshot() const
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, m_image);
    return { buf.data(), buf.size() };
}

static absl::Status checkCommitments(const StateImage& image)
{
    std::map<WorkerId, Resources> sums;
    for (const auto& [id, job] : image.jobs) {
        if (!job.holdsCommitment())
            continue;
        auto it = image.workers.find(job.worker);
        if (it == image.workers.end() || !it->second.jobs.contains(id))
            return absl::DataLossError(
                fmt::format("job {} is placed on a worker that is unknown or does not list it", id));
        sums[job.worker] = sums[job.worker] + job.spec.size;
    }
    for (const auto& [id, worker] : image.workers) {
        if (sums[id] != worker.committed)
            return absl::DataLossError(
                fmt::format("the resources committed on worker {} differ from the sum over its jobs", id));
    }
    return absl::OkStatus();
}

absl::StatusOr<ClusterState> ClusterState::decodeSnapshot(std::string_view bytes)
{
    ClusterState state;
    // msgpack throws on malformed input; the exceptions are converted to a status here.
    try {
        auto handle = msgpack::unpack(bytes.data(), bytes.size());
        handle.get().convert(state.m_image);
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(fmt::format("malformed snapshot: {}", error.what()));
    }
    if (auto status = checkCommitments(state.m_image); !status.ok())
        return status;
    state.rebuildIndexes();
    return state;
}

}
