#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibNode/TaskLeader.h>
#include <LibReport/NodeMetrics.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <charconv>
#include <string_view>
#include <system_error>
#include <utility>

// Reads the state that earlier leaders have stored in the progress stream.

namespace Bergamot {

void TaskLeader::applyProgressRecord(const KeyedRecord& record)
{
    if (record.key == assignedWorkersKey) {
        auto assignedWorkers = decodeValue<AssignedWorkers>(record.value);
        m_areAssignedWorkersUnreadable = !assignedWorkers.ok();
        if (assignedWorkers.ok())
            m_storedAssignedWorkers = std::move(*assignedWorkers);
        else
            logError("roster_unreadable", { { "error", statusText(assignedWorkers.status()) } });
        return;
    }
    if (record.key == unreachedWorkersKey) {
        // Without this record, the leader waits for all leases from its own election on.
        if (auto unreached = decodeValue<UnreachedWorkers>(record.value); unreached.ok())
            m_storedUnreachedWorkers = std::move(*unreached);
        else
            logError("unreached_workers_unreadable", { { "error", statusText(unreached.status()) } });
        return;
    }
    if (record.key.starts_with(unansweredStartsKeyPrefix))
        return applyUnansweredStarts(record);
    if (record.key == pressuresKey) {
        if (auto pressures = decodeValue<PressureRecord>(record.value); pressures.ok())
            m_scheduler.restorePressures(*pressures);
        else
            logError("pressures_unreadable", { { "error", statusText(pressures.status()) } });
        return;
    }
    auto progress = decodeValue<JobProgress>(record.value);
    if (!progress.ok())
        return handleUnreadableProgress(record.key, progress.status());
    if (progress->state >= JobStage::Completed)
        m_scheduler.restoreEnd(progress->id, progress->state);
    else
        m_storedProgress[progress->id] = std::move(*progress);
}

/// The run ends of this job are not stored, so they must not be forgotten by the workers that list them. Which ones of
/// a worker these are is not known, so all acknowledgements wait until a record of the job is stored.
void TaskLeader::handleOmittedRecords(const ProgressBatch& batch)
{
    m_metrics.recordOmittedRecords(batch.omittedRecords);
    for (const auto& progress : batch.jobs)
        m_jobsWithoutRecord.erase(progress.id);
    for (const auto& id : batch.omittedJobs) {
        m_scheduler.progressOmitted(id);
        // An unknown job that is cancelled has no run ends.
        if (m_scheduler.stateOf(id))
            m_jobsWithoutRecord.insert(id);
    }
}

void TaskLeader::acknowledgeStoredEnds(const std::vector<std::pair<WorkerHandle, uint64_t>>& acknowledgements)
{
    for (auto [handle, sequence] : acknowledgements)
        m_heldAcknowledgements[handle] = sequence;
    if (!m_jobsWithoutRecord.empty())
        return;
    for (auto [handle, sequence] : std::exchange(m_heldAcknowledgements, {})) {
        if (auto it = m_workers.find(handle); it != m_workers.end())
            it->second.session->acknowledge(sequence);
    }
}

void TaskLeader::applyUnansweredStarts(const KeyedRecord& record)
{
    auto number = std::string_view(record.key).substr(std::string_view(unansweredStartsKeyPrefix).size());
    size_t list = 0;
    auto parsed = std::from_chars(number.begin(), number.end(), list);
    auto starts = decodeValue<UnansweredStarts>(record.value);
    if (parsed.ec != std::errc {} || !starts.ok())
        return logError("unanswered_starts_unreadable", { { "key", record.key } });
    m_storedUnansweredStarts[list] = std::move(*starts);
}

void TaskLeader::handleUnreadableProgress(const std::string& key, const absl::Status& status)
{
    logError("progress_unreadable", { { "key", key }, { "error", statusText(status) } });
    if (key.starts_with(jobKeyPrefix))
        m_jobsWithUnreadableProgress.insert(key.substr(std::string_view(jobKeyPrefix).size()));
}

/// A worker has one session. Of several stored incarnations, the former ones have ended.
void TaskLeader::dropReplacedIncarnations()
{
    auto& workers = m_storedAssignedWorkers.workers;
    auto isReplaced = [stored = workers](const WorkerIncarnation& former) {
        return std::ranges::any_of(stored,
            [&](const WorkerIncarnation& it) { return it.id == former.id && it.startedAtMs > former.startedAtMs; });
    };
    m_assignedWorkersChanged = std::erase_if(workers, isReplaced) > 0 || m_assignedWorkersChanged;
}

}
