#pragma once

#include <LibCore/Time.h>
#include <LibDecision/CallTimeout.h>
#include <LibPlatform/RecordStore.h>
#include <LibWire/JobSpec.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace Bergamot {

class EventLoop;

enum class AcceptResult : uint8_t {
    Accepted,
    /// The job is not stored, and no append in progress can still store it.
    Refused,
    /// An append of the job has no definite result, so the job may be stored.
    Unknown
};

/// Partitions of the job stream. The store serializes the appends to a partition, so nodes that share a partition wait
/// for each other while the store is slow.
inline constexpr uint32_t jobPartitions = 4;

/// Stores submitted jobs in batches, one append at a time. Records are keyed by job id, so storing a job twice is
/// harmless.
class JobAcceptor {
public:
    using Callback = std::function<void(AcceptResult)>;

    /// `loop` and `store` must outlive the acceptor.
    JobAcceptor(EventLoop&, RecordStore&, uint32_t partition);
    ~JobAcceptor();

    /// Retries until `deadline`. The callback runs exactly once. After repeated append time-outs, a single append
    /// probes the store, and other jobs are refused immediately.
    void accept(const JobSpec&, Instant deadline, Callback);

    /// Whether an append of the job is to be sent or has no definite result yet.
    bool isPending(const JobId&) const;

    /// Answers all pending jobs now: Unknown if an append may have stored or may still store the job, Refused
    /// otherwise.
    void answerPending();

private:
    struct PendingJob {
        KeyedRecord record;
        Instant deadline;

        /// Empty once the job has been answered while an append that contains it is in progress.
        Callback callback;

        /// An append that contains this job has failed without a definite result.
        bool mayBeStored { false };
    };

    void sendAppend();
    void handleReply(const absl::StatusOr<AppendReply>&);
    void failExpired();

    EventLoop& m_loop;
    RecordStore& m_store;
    uint32_t m_partition;
    std::vector<PendingJob> m_pendingJobs;
    std::vector<PendingJob> m_jobsInAppend;
    uint32_t m_consecutiveTimeouts { 0 };
    CallTimeout m_timeout { {} };
    Instant m_sentAt { neverInstant };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
