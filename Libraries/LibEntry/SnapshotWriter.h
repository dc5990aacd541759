#pragma once

#include <LibCore/Time.h>
#include <LibEntry/LogStream.h>
#include <memory>
#include <string>
#include <vector>

namespace Bergamot {

/// Writes snapshots of a stream's state while this process leads, so that the log may expire old records.
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

    /// Starts a snapshot when one is due. A failed one is abandoned and tried again later.
    void tick(Instant now, bool isLeader);

private:
    void begin(Instant now);
    void sendNext();
    void answered(const absl::Status&);

    Options m_options;
    LogStream& m_stream;
    std::vector<Record> m_pending;
    size_t m_next { 0 };
    uint64_t m_sequence { 0 };
    LogPosition m_position { 0 };
    Instant m_lastBegin { neverInstant };
    bool m_active { false };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
