#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamot {

/// One partition of a topic of the platform's store: its records, the newest record of each key, and its producers.
class LogPartition {
public:
    struct Producer {
        std::string name;
        uint64_t epoch { 0 };
        uint64_t sequence { 0 };
    };

    struct Answer {
        int status { 200 };
        std::string body {};
    };

    struct Newest {
        std::string value;
        uint64_t offset { 0 };
    };

    explicit LogPartition(bool keyed)
        : m_keyed(keyed)
    {
    }

    /// `body` holds records, each after its length in four bytes, big-endian.
    Answer append(std::string_view body, std::optional<uint64_t> expectedEndOffset, const std::optional<Producer>&);

    /// The records from this offset on, in the format of append(), after the end and the first retained offset.
    std::string read(uint64_t from) const;

    /// Appends one record with a key in the name of the platform. An empty value drops the key.
    void put(std::string_view key, std::string_view value);

    /// Deletes all but the last `kept` records. The newest record of each key stays.
    void forget(size_t kept);

    uint64_t firstRetained() const { return m_first; }
    uint64_t end() const { return m_first + m_records.size(); }

    const std::map<std::string, Newest>& newest() const { return m_newest; }

private:
    struct ProducerState {
        uint64_t epoch { 0 };

        /// Empty until the first append of the epoch, which may have any sequence number.
        std::optional<uint64_t> sequence;
        std::deque<std::pair<uint64_t, Answer>> recent;
    };

    void add(std::string_view record);

    bool m_keyed { false };
    uint64_t m_first { 0 };
    std::deque<std::string> m_records;
    std::map<std::string, Newest> m_newest;
    std::map<std::string, ProducerState> m_producers;
};

}
