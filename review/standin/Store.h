#pragma once

#include "Http.h"
#include "Record.h"
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Review {

/// The platform's store as PROTOCOL.md describes it, without its groups: topics, conditional and fenced appends, reads
/// that wait, the newest record of each key, and the limits of records, calls and the total size.
class Store {
public:
    /// What a call gets in place of the store's own behaviour.
    enum class Fate {
        /// The call is served.
        Served,
        /// Nothing is done, and the answer is 503.
        Busy,
        /// Nothing is done, and the connection is reset.
        Reset,
        /// The call is carried out, and the connection is reset in place of the answer.
        AnswerLost,
    };

    Store(Record& record, std::string ip, uint16_t port);

    bool open() { return m_server.open(); }

    /// Serves the same store at one more address, which can be cut off.
    bool openSecond(const std::string& ip, uint16_t port);
    void setSecondCutOff(bool isCutOff) { m_isSecondCutOff = isCutOff; }
    void close();

    /// Asked for each call of the system, before it is carried out.
    void setFate(std::function<Fate(const Request&)> fate);

    /// Writes a record as the operator or as a worker, which no fate of calls affects. Without a value, the key is
    /// dropped.
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /// A record that the store keeps as the newest one of its key.
    struct Kept {
        std::string topic;
        uint64_t part { 0 };
        std::string key;
        std::string value;
    };

    /// The newest records of all keys that the system has written.
    std::vector<Kept> keptRecords();

    /// Adds a record as the newest one of its key, without a place in the history.
    void keep(const Kept&);

    /// Whether a worker can write its entry now.
    void setDown(bool down) { m_isDown = down; }
    bool isDown() const { return m_isDown; }

    /// The number in the name `front-N` of the author of the last conditional append; 0 if there is none.
    int lastConditionalAuthor() const { return m_lastConditionalAuthor; }

    /// Bytes of all records that the store keeps.
    size_t storedBytes();

private:
    struct Entry {
        std::string value;
        uint64_t offset { 0 };
    };
    struct Producer {
        uint64_t epoch { 0 };
        std::optional<uint64_t> sequence;
        std::deque<std::pair<uint64_t, std::string>> answers;
    };
    struct Partition {
        std::deque<std::pair<int64_t, std::string>> records;
        uint64_t first { 0 };
        std::map<std::string, Entry> newest;
        std::map<std::string, Producer> producers;
        size_t newestBytes { 0 };
        size_t recordBytes { 0 };
    };

    Response handle(const Request&);
    Response append(const Request&);
    Response read(const Request&);
    Response newest(const Request&);
    Partition& partitionOf(const Request&);
    void add(Partition&, bool isKeyed, std::string content);
    size_t storedBytesLocked() const;

    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, uint64_t>, Partition> m_partitions;
    std::function<Fate(const Request&)> m_fate;
    std::atomic<bool> m_isDown { false };
    std::atomic<int> m_lastConditionalAuthor { 0 };
    std::atomic<bool> m_isClosed { false };
    std::atomic<bool> m_isSecondCutOff { false };
    HttpServer m_server;
    std::unique_ptr<HttpServer> m_secondServer;
};

}
