#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/LogChunk.h>
#include <LibStandIn/LogStoreOptions.h>
#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace Bergamot {

/// An in-memory implementation of the platform's append-only log. Callers pass the current time, so that tests run in
/// virtual time.
class LogStore {
public:
    static constexpr size_t maxRecordBytes = size_t { 4 } << 20;

    explicit LogStore(LogStoreOptions);

    /// Returns InvalidArgument for an invalid stream name or record size and ResourceExhausted above the rate limit.
    absl::StatusOr<LogPosition> append(std::string_view stream, std::string_view bytes, Instant now);

    /// Returns the entries from offset `from` on, up to `maxBytes` in total. The first entry is returned even when it
    /// is larger than that. Returns InvalidArgument for an invalid stream name.
    absl::StatusOr<LogChunk> read(std::string_view stream, LogPosition from, size_t maxBytes, Instant now);

    /// Removes the entries of a stream whose offset is below `before`.
    void expireBefore(std::string_view stream, LogPosition before);

    LogPosition head(std::string_view stream) const;
    uint64_t appended() const { return m_appended; }
    uint64_t rejected() const { return m_rejected; }
    size_t streams() const { return m_streams.size(); }

    static bool isValidStreamName(std::string_view);

private:
    struct Stream {
        LogPosition earliest { 0 };
        int64_t lastTimeMs { 0 };
        std::deque<LogEntry> entries;
    };

    bool tryConsumeAppend(Instant now);
    void expire(Stream&, Instant now) const;

    LogStoreOptions m_options;
    std::map<std::string, Stream, std::less<>> m_streams;
    Instant m_windowStart {};
    uint32_t m_windowAppends { 0 };
    uint64_t m_appended { 0 };
    uint64_t m_rejected { 0 };
};

}
