#pragma once

#include <LibDecision/CallTimeout.h>
#include <LibNode/ProgressBatch.h>
#include <LibPlatform/RecordStore.h>
#include <cstdint>
#include <functional>
#include <memory>

namespace Bergamot {

class EventLoop;

/// Stores the leader's progress, one append at a time, fenced by the leader's epoch. Each batch holds all that changed
/// during the append before it.
class ProgressJournal {
public:
    struct Options {
        uint64_t epoch { 0 };

        /// Collects what is to be stored now.
        std::function<ProgressBatch()> collect {};

        /// The batch is stored.
        std::function<void(const ProgressBatch&)> onStored {};

        /// The store has seen a later epoch.
        std::function<void()> onFenced {};
    };

    /// `loop` and `store` must outlive the journal.
    ProgressJournal(EventLoop&, RecordStore&, Options);
    ~ProgressJournal();

    /// Locks earlier leaders out of the stream, then calls back.
    void lockOut(std::function<void()> onDone);

    /// Something may have to be stored.
    void wake();

    uint64_t appends() const { return m_appends; }

private:
    void flush();
    void send();
    void answered(absl::StatusOr<AppendReply>);

    EventLoop& m_loop;
    RecordStore& m_store;
    Options m_options;
    ProgressBatch m_batch;
    AppendRequest m_request;
    uint64_t m_sequence { 0 };
    uint64_t m_appends { 0 };
    CallTimeout m_timeout { {} };
    Instant m_sentAt { neverInstant };
    bool m_wakeScheduled { false };
    bool m_sending { false };
    bool m_wokenMeanwhile { false };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

/// Keys of the progress stream: a job, the roster of workers, or what was learned of interference.
inline constexpr const char* assignedWorkersKey = "roster";
inline constexpr const char* pressuresKey = "pressures";
inline constexpr const char* jobKeyPrefix = "job/";

}
