#pragma once

#include <LibCore/Time.h>
#include <LibEntry/LogStream.h>
#include <memory>
#include <string>
#include <vector>

namespace Bergamot {

/// Writes snapshots of a stream's state while this process is the leader, so that the log can expire old records.
class SnapshotWriter {
public:
    struct Options {
        LogService* log { nullptr };
        MemberId member {};
        uint64_t incarnation { 0 };
        Executor executor {};
        Milliseconds interval { 600'000 };
        uint64_t maxEntries { 20'000 };
    };

    SnapshotWriter(Options options, LogStream& stream)
        : m_options(std::move(options))
        , m_stream(stream)
    {
    }

    /// Starts a snapshot when one is due. A snapshot whose append fails is abandoned; a new one starts when next due.
    void tick(Instant now, bool isLeader);

private:
    void startSnapshot(Instant now);
    void appendNextRecord();
    void appendFinished(const absl::Status&);

    Options m_options;
    LogStream& m_stream;
    std::vector<Record> m_records;
    size_t m_nextRecord { 0 };
    uint64_t m_sequence { 0 };
    LogPosition m_position { 0 };
    Instant m_lastStartedAt { neverInstant };
    bool m_isActive { false };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
