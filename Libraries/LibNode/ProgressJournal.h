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

/// Writes the leader's state to the progress stream, in order and fenced by the leader's epoch. A batch holds all
/// changes since the previous one. It is appended once the previous append is answered. Urgent changes wait for that
/// reply for a limited time only: the store may have executed the append and lost the reply, and it rejects an append
/// after a missing one. A record that the store refuses for good is left out of its batch. A large batch takes several
/// appends, so a leader that loads the state may find a part of it.
class ProgressJournal {
public:
    struct Options {
        uint64_t epoch { 0 };

        /// Returns the changes that are not in an earlier batch.
        std::function<ProgressBatch()> collect {};

        /// Called when the batch is stored, in the order of collection, and also for an empty batch, which is not
        /// appended. Records that were left out are not in the batch any more.
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

    /// As above, but also while an append has no reply, for changes that a successor must know of.
    void requestUrgentFlush();

    uint64_t appendCount() const { return m_appendCount; }

private:
    /// An append that is not known to be stored.
    struct Append {
        /// An empty batch has the sequence number of the append before it, with which it counts as stored.
        uint64_t sequence { 0 };

        /// Set in the last append of the batch.
        ProgressBatch batch {};
        bool completesBatch { false };
        AppendRequest request {};
        Instant collectedAt { neverInstant };
        Instant sentAt { neverInstant };
        bool isInProgress { false };
    };

    bool mayCollect() const;
    void flush();
    bool leaveOutRefusedRecord(Append&);
    void send(Append&);
    void repeatFirst();
    void handleReply(uint64_t sequence, absl::StatusOr<AppendReply>);
    void handleStored(uint64_t sequence);

    EventLoop& m_loop;
    RecordStore& m_store;
    Options m_options;

    /// By sequence number. Only the first one is repeated.
    std::deque<Append> m_appends;
    uint64_t m_sequence { 0 };
    uint64_t m_storedSequence { 0 };
    uint64_t m_appendCount { 0 };
    CallTimeout m_timeout { {} };
    bool m_isFlushScheduled { false };
    bool m_isFenced { false };
    bool m_isFlushRequested { false };
    bool m_isUrgent { false };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

/// Keys of the progress stream: the assigned workers, those that the leader has not reached, the interference model,
/// and the prefixes for the progress of a job and for a list of starts without a reply.
inline constexpr const char* assignedWorkersKey = "roster";
inline constexpr const char* unreachedWorkersKey = "unreached";
inline constexpr const char* pressuresKey = "pressures";
inline constexpr const char* jobKeyPrefix = "job/";
inline constexpr const char* unansweredStartsKeyPrefix = "unanswered/";

}
