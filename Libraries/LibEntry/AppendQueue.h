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

/// Group commit of records to one stream. One batch is in flight at a time; it is repeated with the same identity
/// until the log or the fold shows that it is in, because the answer to an append can be lost after it took effect.
class AppendQueue {
public:
    /// Called once on the control thread: OK when the fold accepted the record, FailedPrecondition when it ignored
    /// it, Aborted when the record surely was not appended, Unknown when the deadline passed with the outcome open.
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

    /// Queues a record. With a deadline, `done` is called by then at the latest.
    void submit(Record, Done = {}, Instant deadline = Instant::max());

    /// Starts the next batch when the commit interval has passed, repeats a failed one, and expires deadlines.
    void tick(Instant now);

    /// The follower has applied the batch of this process with this sequence.
    void applied(uint64_t sequence, const ApplyResult&);

    /// True when the log has not taken an append for a while, so that a new one would only wait.
    bool isStalled(Instant now) const;
    size_t queued() const { return m_waiting.size(); }

private:
    struct Waiting {
        Record record;
        Done done;
        Instant deadline;
    };
    struct InFlight {
        RecordBatch batch;
        std::vector<Waiting> items;
        Instant firstSent;
        Instant retryAt;
        bool sending;
    };

    void startBatch(Instant now);
    void send(Instant now);
    void answered(uint64_t sequence, const absl::Status&);
    void refuseInFlight();
    void expire(Instant now);

    Options m_options;
    std::deque<Waiting> m_waiting;
    std::optional<InFlight> m_inFlight;
    std::map<uint64_t, std::vector<Waiting>> m_unapplied;
    uint64_t m_nextSequence { 1 };
    Instant m_lastStart { neverInstant };
    Instant m_now { neverInstant };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
