#pragma once

#include <LibCore/Time.h>
#include <LibDecision/CallTimeout.h>
#include <LibPlatform/RecordStore.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Bergamot {

class EventLoop;

/// Follows a keyed stream: delivers the newest record of each key, then every new record in order. Reloads the newest
/// records if the store has deleted records that were not read yet.
class StreamReader {
public:
    /// Maximum time-out for reading a page of newest records from a slow store.
    static constexpr Milliseconds maxLoadTimeout { 4000 };

    struct Options {
        StreamName stream { StreamName::Operators };
        uint32_t partition { 0 };

        /// Maximum time that the store delays a read until a record is available (long polling).
        Milliseconds maxWait { 800 };

        /// Delay between two reads, once the end of the stream is reached.
        Milliseconds pollInterval { 0 };

        /// Bounds of the time-out for reading a page of newest records.
        CallTimeout::Options loadTimeout { .maxTimeout = maxLoadTimeout };

        /// Called before the first load and before each reload delivers its records. Records delivered earlier may be
        /// out of date.
        std::function<void()> onReload {};
        std::function<void(const KeyedRecord&)> onRecord {};

        /// Called each time all records up to the end of the stream have been delivered.
        std::function<void()> onCaughtUp {};
    };

    /// `loop` and `store` must outlive the reader.
    StreamReader(EventLoop&, RecordStore&, Options);
    ~StreamReader();

    void start();
    bool hasLoaded() const { return m_hasLoaded; }

    /// Sends a read that does not wait for a record, so that `currentAsOf` advances if the end of the stream has been
    /// reached. Without effect while the records are loaded or while such a read is in progress.
    void checkEnd();

    /// Start time of the last read that reached the end of the stream.
    Instant currentAsOf() const { return m_currentAsOf; }

    /// Time after which the record that is being delivered was appended; neverInstant for a record of the initial load
    /// or a reload, which may be of any age.
    Instant appendedAfter() const { return m_isCaughtUp ? m_currentAsOf : neverInstant; }

    /// True when this reader has not reached the end of the stream within `maxAge` although the store answers. While
    /// the store is unavailable, the records are as new as they can be.
    bool isLagging(Milliseconds maxAge) const;

private:
    void load(const std::string& afterKey);
    void handlePage(const ReadNewestReply&, bool isFirstPage);
    void deliver(const std::vector<KeyedRecord>&);
    void readNext();
    void handleReadReply(const ReadReply&, Instant startedAt);
    void retry(std::function<void()>);

    EventLoop& m_loop;
    RecordStore& m_store;
    Options m_options;
    LogPosition m_position { 0 };
    CallTimeout m_loadTimeout;
    bool m_hasLoaded { false };
    bool m_isCaughtUp { false };
    bool m_hasLastReadFailed { false };
    bool m_isCheckingEnd { false };
    Instant m_currentAsOf { neverInstant };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
