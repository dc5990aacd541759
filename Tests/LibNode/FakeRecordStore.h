#pragma once

#include <LibHttp/EventLoop.h>
#include <LibPlatform/RecordStore.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Bergamot {

/// The platform's store in memory and virtual time, with the faults that its protocol allows.
class FakeRecordStore final : public RecordStore {
public:
    enum class Fault : uint8_t {
        None,
        /// Answers that nothing was done.
        Refusing,
        /// Appends take effect, and their answers are lost.
        LosingAnswers,
        /// Nothing is done and nothing is answered before the time-out.
        Silent
    };

    explicit FakeRecordStore(EventLoop& loop)
        : m_loop(loop)
    {
    }

    void append(const AppendRequest&, Milliseconds timeout, Callback<AppendReply>) override;
    void read(StreamName, uint32_t partition, LogPosition from, Milliseconds wait, Callback<ReadReply>) override;
    void readNewest(StreamName, uint32_t partition, const std::string& afterKey, Milliseconds timeout,
        Callback<ReadNewestReply>) override;

    /// Appends in the name of somebody else.
    void put(StreamName, std::string key, std::string value);

    /// Deletes all records; the newest of each key stay.
    void expire(StreamName);

    const std::vector<KeyedRecord>& records(StreamName stream, uint32_t partition = 0)
    {
        return m_partitions[{ stream, partition }].records;
    }

    Fault fault { Fault::None };

    /// Questions for the newest records of this stream get no answer before the time-out.
    std::optional<StreamName> unansweredReadNewest {};

    /// The page of newest records after this key gets no answer before the time-out.
    std::optional<std::string> unansweredAfterKey {};

    /// How long the store takes to answer a question for the newest records.
    Milliseconds readNewestTime { 4 };
    uint32_t appends { 0 };
    uint32_t loads { 0 };

    /// Partitions whose reads and loads are refused.
    std::set<std::pair<StreamName, uint32_t>> unreadable;

    /// Records of one page of newest().
    size_t pageRecords { 500 };

private:
    struct Writer {
        uint64_t epoch { 0 };
        uint64_t sequence { 0 };
        AppendReply lastReply;
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
