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
    /// The job is surely not stored and never will be.
    Refused,
    /// The job may be stored.
    Unknown
};

/// Partitions of the job stream. The store appends to a partition one call at a time, so that nodes that share one wait
/// for each other while the store is slow.
inline constexpr uint32_t jobPartitions = 4;

/// Stores accepted jobs in groups, one append at a time. A job is keyed by its id, so storing it twice is harmless.
class JobAcceptor {
public:
    using Callback = std::function<void(AcceptResult)>;

    /// `loop` and `store` must outlive the acceptor.
    JobAcceptor(EventLoop&, RecordStore&, uint32_t partition);
    ~JobAcceptor();

    /// Tries until `deadline`; the callback runs once. While the store does not answer, only one append at a time finds
    /// out whether it is back, and other jobs are refused at once.
    void accept(const JobSpec&, Instant deadline, Callback);

private:
    struct Waiting {
        KeyedRecord record;
        Instant deadline;
        Callback callback;

        /// An append with this job has failed with an unknown effect.
        bool mayBeStored { false };
    };

    void send();
    void answered(const absl::StatusOr<AppendReply>&);
    void giveUpExpired();

    EventLoop& m_loop;
    RecordStore& m_store;
    uint32_t m_partition;
    std::vector<Waiting> m_waiting;
    std::vector<Waiting> m_inAppend;
    uint32_t m_timeoutsInARow { 0 };
    CallTimeout m_timeout { {} };
    Instant m_sentAt { neverInstant };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
