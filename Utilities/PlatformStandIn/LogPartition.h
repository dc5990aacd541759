#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamot {

/// One partition of a topic in the store stand-in. Holds the retained records, the newest record of each key, and the
/// fencing state of each producer.
class LogPartition {
public:
    struct Producer {
        std::string name;
        uint64_t epoch { 0 };
        uint64_t sequence { 0 };
    };

    struct Reply {
        int status { 200 };
        std::string body {};
    };

    struct NewestRecord {
        std::string value;
        uint64_t offset { 0 };
    };

    explicit LogPartition(bool keyed)
        : m_keyed(keyed)
    {
    }

    /// Appends all records of `body`, each preceded by its length in four big-endian bytes, or none of them. Replies
    /// with status 400 to a truncated record, 409 to a fenced producer or an unexpected sequence number, and 412 when
    /// `expectedEndOffset` is not the end offset.
    Reply append(std::string_view body, std::optional<uint64_t> expectedEndOffset, const std::optional<Producer>&);

    /// Returns the end offset and the first retained offset, each in eight big-endian bytes, and then the records from
    /// `fromOffset` on in the format of append().
    std::string read(uint64_t fromOffset) const;

    /// Appends one keyed record that the platform itself writes. An empty value deletes the key.
    void put(std::string_view key, std::string_view value);

    /// Deletes all but the last `retainedCount` records. newestRecords() does not change.
    void trim(size_t retainedCount);

    uint64_t firstRetainedOffset() const { return m_firstRetainedOffset; }
    uint64_t endOffset() const { return m_firstRetainedOffset + m_records.size(); }

    const std::map<std::string, NewestRecord>& newestRecords() const { return m_newestRecords; }

    /// Bytes of the keys and values of newestRecords().
    uint64_t newestBytes() const;

private:
    struct ProducerState {
        uint64_t epoch { 0 };

        /// Empty until the first append of the epoch, which may have any sequence number.
        std::optional<uint64_t> lastSequence;

        /// Sequence numbers and replies of the latest appends, for retries by the producer.
        std::deque<std::pair<uint64_t, Reply>> recentReplies;
    };

    void addRecord(std::string_view record);

    bool m_keyed { false };
    uint64_t m_firstRetainedOffset { 0 };
    std::deque<std::string> m_records;
    std::map<std::string, NewestRecord> m_newestRecords;
    std::map<std::string, ProducerState> m_producers;
};

}
