#pragma once

#include <LibHttp/EventLoop.h>
#include <LibPlatform/RecordStore.h>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Bergamot {

/// In-memory implementation of the record store in virtual time, with injectable faults.
class FakeRecordStore final : public RecordStore {
public:
    enum class Fault : uint8_t {
        None,
        /// Each call fails with Aborted and has no effect.
        Refusing,
        /// Appends take effect, but their replies are lost, so that the calls time out.
        LosingReplies,
        /// Appends and reads time out without effect; readNewest() fails with Aborted.
        Unresponsive
    };

    explicit FakeRecordStore(EventLoop& loop)
        : m_loop(loop)
    {
    }

    size_t maxRecordBytes() const override { return statedMaxRecordBytes; }
    void append(const AppendRequest&, Milliseconds timeout, Callback<AppendReply>) override;
    void read(StreamName, uint32_t partition, LogPosition from, Milliseconds wait, Callback<ReadReply>) override;
    void readNewest(StreamName, uint32_t partition, const std::string& afterKey, Milliseconds timeout,
        Callback<ReadNewestReply>) override;

    /// Appends a record as another client of the store.
    void put(StreamName, std::string key, std::string value);

    /// Deletes all records except the newest one of each key, which only readNewest() still returns.
    void expire(StreamName);

    const std::vector<KeyedRecord>& records(StreamName stream, uint32_t partition = 0)
    {
        return m_partitions[{ stream, partition }].records;
    }

    Fault fault { Fault::None };

    /// Calls of readNewest() for this stream time out.
    std::optional<StreamName> unansweredReadNewest {};

    /// Calls of readNewest() for the page after this key time out.
    std::optional<std::string> unansweredAfterKey {};

    /// Additional response time of read() by stream.
    std::map<StreamName, Milliseconds> readDelays {};

    /// Response time of append().
    Milliseconds appendTime { 4 };

    /// Response time of readNewest().
    Milliseconds readNewestTime { 4 };
    uint32_t appends { 0 };
    uint32_t loads { 0 };
    uint32_t reads { 0 };

    /// Partitions for which read() and readNewest() fail with Aborted.
    std::set<std::pair<StreamName, uint32_t>> unreadable;

    /// Larger appends fail with InvalidArgument.
    size_t maxCallBytes { 2 << 20 };

    /// Appends with a larger record fail with InvalidArgument. Writers know `statedMaxRecordBytes`.
    size_t maxRecordSize { defaultMaxRecordBytes };
    size_t statedMaxRecordBytes { defaultMaxRecordBytes };

    /// Maximum number of records in a page of readNewest().
    size_t pageRecords { 500 };

    /// Maximum number of records in a reply of read().
    size_t readRecords { 500 };

private:
    struct Writer {
        uint64_t epoch { 0 };
        std::optional<uint64_t> lastSequence {};

        /// Sequence numbers and replies of the last appends; a repeat of one gets the reply again.
        std::deque<std::pair<uint64_t, AppendReply>> recentReplies {};
    };
    struct Partition {
        std::vector<KeyedRecord> records;
        LogPosition firstRetained { 0 };
        std::map<std::string, Writer> writers;
    };

    AppendReply apply(Partition&, const AppendRequest&);
    void poll(StreamName, uint32_t partition, LogPosition from, Instant until, Callback<ReadReply>);

    EventLoop& m_loop;
    std::map<std::pair<StreamName, uint32_t>, Partition> m_partitions;
};

}
