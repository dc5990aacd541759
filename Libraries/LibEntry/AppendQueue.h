#pragma once

#include <LibCore/Time.h>
#include <LibEntry/Executor.h>
#include <LibPlatform/LogService.h>
#include <LibState/ApplyResult.h>
#include <LibWire/RecordBatch.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Bergamot {

/// Appends records to one log stream by group commit. One batch is in flight at a time. A failed append is retried with
/// the same batch identity until the log acknowledges it or the batch is read back, because the reply to an append can
/// be lost after the append took effect.
class AppendQueue {
public:
    /// Called once on the control thread with the outcome of one record: OK when the replicated state accepted it,
    /// FailedPrecondition when the state ignored it, Aborted when it was not appended, Unknown when the deadline passed
    /// before the outcome was known.
    using Done = std::function<void(absl::Status)>;

    static constexpr size_t maxBatchRecords = 256;
    static constexpr size_t maxQueuedRecords = 20'000;

    struct Options {
        LogService* log { nullptr };
        std::string stream {};
        MemberId member {};
        uint64_t incarnation { 0 };
        Executor executor {};
    };

    explicit AppendQueue(Options);

    /// Queues a record for the next batch. `done` is called with an error if the outcome is not known by
    /// `deadline`.
    void submit(Record, Done = {}, Instant deadline = Instant::max());

    /// Expires deadlines, retries a failed batch, and starts the next batch when the group commit interval has passed.
    void tick(Instant now);

    /// Reports that the replicated state has applied the batch that this process appended with this sequence number.
    void batchApplied(uint64_t sequence, const ApplyResult&);

    /// True when the batch in flight has not been acknowledged for over a second, so that further records would only
    /// queue behind it.
    bool isStalled(Instant now) const;
    size_t queuedRecordCount() const { return m_pending.size(); }

private:
    struct PendingRecord {
        Record record;
        Done done;
        Instant deadline;
    };
    struct InFlight {
        RecordBatch batch;
        std::vector<PendingRecord> items;
        Instant firstSentAt;
        Instant retryAt;
        bool isSending;
    };

    void startBatch(Instant now);
    void send(Instant now);
    void appendFinished(uint64_t sequence, const absl::Status&);
    void rejectInFlight();
    void expireDeadlines(Instant now);

    Options m_options;
    std::deque<PendingRecord> m_pending;
    std::optional<InFlight> m_inFlight;
    std::map<uint64_t, std::vector<PendingRecord>> m_unappliedBatches;
    uint64_t m_nextSequence { 1 };
    Instant m_lastBatchStartedAt { neverInstant };
    Instant m_now { neverInstant };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
