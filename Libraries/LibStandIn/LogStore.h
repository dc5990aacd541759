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

/// The platform's append-only log in memory. Time is a parameter, so that tests run in virtual time.
class LogStore {
public:
    static constexpr size_t maxRecordBytes = size_t { 4 } << 20;

    explicit LogStore(LogStoreOptions);

    /// InvalidArgument for a bad stream name or record size, ResourceExhausted above the rate limit.
    absl::StatusOr<LogPosition> append(std::string_view stream, std::string_view bytes, Instant now);

    /// Entries from `from` on, at least one when there is one, then up to `maxBytes` in total.
    absl::StatusOr<LogChunk> read(std::string_view stream, LogPosition from, size_t maxBytes, Instant now);

    /// Removes the entries of a stream below `before`.
    void expireBefore(std::string_view stream, LogPosition before);

    LogPosition head(std::string_view stream) const;
    uint64_t appended() const { return m_appended; }
    uint64_t refused() const { return m_refused; }
    size_t streams() const { return m_streams.size(); }

    static bool isValidStreamName(std::string_view);

private:
    struct Stream {
        LogPosition earliest { 0 };
        int64_t lastTimeMs { 0 };
        std::deque<LogEntry> entries;
    };

    bool takeAppendPermit(Instant now);
    void expire(Stream&, Instant now) const;

    LogStoreOptions m_options;
    std::map<std::string, Stream, std::less<>> m_streams;
    Instant m_windowStart {};
    uint32_t m_windowAppends { 0 };
    uint64_t m_appended { 0 };
    uint64_t m_refused { 0 };
};

}
