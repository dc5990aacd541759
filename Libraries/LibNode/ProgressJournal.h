#pragma once

#include <LibDecision/CallTimeout.h>
#include <LibNode/ProgressBatch.h>
#include <LibPlatform/RecordStore.h>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

namespace Bergamot {

class EventLoop;

/// Writes the leader's state to the progress stream, one append at a time, fenced by the leader's epoch. Each batch
/// holds all changes made during the previous one. A large batch takes several appends, so a leader that loads the
/// state may find a part of it.
class ProgressJournal {
public:
    struct Options {
        uint64_t epoch { 0 };

        /// Returns the changes that are not in an earlier batch.
        std::function<ProgressBatch()> collect {};

        /// Called when the batch is stored, and also for an empty batch, which is not appended.
        std::function<void(const ProgressBatch&)> onStored {};

        /// Called when the store rejects an append because it has seen a later epoch.
        std::function<void()> onFenced {};
    };

    /// `loop` and `store` must outlive the journal.
    ProgressJournal(EventLoop&, RecordStore&, Options);
    ~ProgressJournal();

    /// Registers this leader's epoch, so that the store rejects appends of earlier leaders, then calls `onDone`.
    /// Retries until the store confirms.
    void fencePredecessors(std::function<void()> onDone);

    /// Collects and stores the changes after a short batching delay, or after the append in progress.
    void requestFlush();

    uint64_t appendCount() const { return m_appendCount; }

private:
    void flush();
    void sendNextAppend();
    void sendAppend();
    void handleReply(absl::StatusOr<AppendReply>);

    EventLoop& m_loop;
    RecordStore& m_store;
    Options m_options;
    ProgressBatch m_batch;

    /// The records of the batch that are in no append yet.
    std::deque<KeyedRecord> m_unsentRecords;
    AppendRequest m_request;
    uint64_t m_sequence { 0 };
    uint64_t m_appendCount { 0 };
    CallTimeout m_timeout { {} };
    Instant m_sentAt { neverInstant };
    bool m_isFlushScheduled { false };
    bool m_isSending { false };
    bool m_isFlushRequested { false };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

/// Keys of the progress stream: the assigned workers, those that the leader has not reached, the interference model,
/// and the prefix for the progress of a job.
inline constexpr const char* assignedWorkersKey = "roster";
inline constexpr const char* unreachedWorkersKey = "unreached";
inline constexpr const char* pressuresKey = "pressures";
inline constexpr const char* jobKeyPrefix = "job/";

}
