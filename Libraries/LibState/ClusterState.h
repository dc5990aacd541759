#pragma once

#include <LibState/ApplyResult.h>
#include <LibState/StateImage.h>
#include <LibWire/RecordBatch.h>
#include <absl/status/statusor.h>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace Bergamot {

/// Retention period of ended jobs and request claims, in log time. A repeated request key is recognised within it.
inline constexpr int64_t deduplicationWindowMs = int64_t { 24 } * 3600 * 1000;

/// The state machine that is replicated through a log stream. It is deterministic: all processes that have applied the
/// same entries hold the same state. A record that is invalid in the current state is ignored, except that a record of
/// the current leader can still update `LeaderState::lastRecordAtMs`; its status gives the reason.
class ClusterState {
public:
    ApplyResult apply(const RecordBatch&, LogPosition, int64_t logTimeMs);

    /// Advances past an entry that holds no valid batch, such as one of a newer version.
    void skip(LogPosition);

    const StateImage& image() const { return m_image; }
    LogPosition position() const { return m_image.position; }

    const JobState* findJob(const JobId&) const;
    const WorkerInfo* findWorker(const WorkerId&) const;

    /// The job that was submitted under this caller's key, or nullptr.
    const JobState* findJobByKey(const std::string& requestKey) const;

    /// Index of the jobs whose phase is Revoking, so that the leader does not have to scan all jobs.
    const std::set<JobId>& revokingJobs() const { return m_revokingJobs; }

    std::string encodeSnapshot() const;

    /// Returns InvalidArgument for malformed bytes, and DataLoss when the resources committed on a worker differ from
    /// those of the jobs placed on it.
    static absl::StatusOr<ClusterState> decodeSnapshot(std::string_view);

private:
    struct Sender;
    struct Applier;

    void prune();
    void indexEndedJob(const JobState&);
    void rebuildIndexes();

    StateImage m_image;
    std::map<std::string, JobId> m_jobsByKey;
    std::set<JobId> m_revokingJobs;
    std::deque<std::pair<int64_t, JobId>> m_endedJobs;
    std::deque<std::pair<int64_t, std::string>> m_claimTimes;
};

}
