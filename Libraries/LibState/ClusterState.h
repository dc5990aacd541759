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

/// Ended jobs and request claims are kept for this long in log time; within it a repeated key is recognised.
inline constexpr int64_t deduplicationWindowMs = int64_t { 24 } * 3600 * 1000;

/// The deterministic fold over a log stream. Every process that has applied the same entries holds the same state.
/// A record that is not valid in the state that it meets is ignored with a reason and changes nothing.
class ClusterState {
public:
    ApplyResult apply(const RecordBatch&, LogPosition, int64_t logTimeMs);

    /// Moves past an entry that holds no valid batch, such as one of a newer version.
    void skip(LogPosition);

    const StateImage& image() const { return m_image; }
    LogPosition position() const { return m_image.position; }

    const JobState* findJob(const JobId&) const;
    const WorkerInfo* findWorker(const WorkerId&) const;

    /// The job that was submitted under this caller's key, or nullptr.
    const JobState* findJobByKey(const std::string& requestKey) const;

    /// The jobs whose phase is Revoking, so that the leader need not look at every task to find them.
    const std::set<JobId>& revokingJobs() const { return m_revokingJobs; }

    std::string encodeSnapshot() const;

    /// Returns InvalidArgument for malformed bytes and DataLoss when the commitments do not add up.
    static absl::StatusOr<ClusterState> decodeSnapshot(std::string_view);

private:
    struct Sender;
    struct Applier;

    void prune();
    void indexEnded(const JobState&);
    void rebuildIndexes();

    StateImage m_image;
    std::map<std::string, JobId> m_jobsByKey;
    std::set<JobId> m_revokingJobs;
    std::deque<std::pair<int64_t, JobId>> m_endedJobs;
    std::deque<std::pair<int64_t, std::string>> m_claimAges;
};

}
