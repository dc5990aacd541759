#pragma once

#include <LibCore/Time.h>
#include <LibDecision/CallTimeout.h>
#include <LibPlatform/RecordStore.h>
#include <functional>
#include <memory>
#include <string>

namespace Bergamot {

class EventLoop;

/// Follows a keyed stream: first the newest record of each key, then every new record in order. Loads the newest
/// records again when records that it still needed have been deleted.
class StreamReader {
public:
    /// A slow store gets this long for a page of newest records.
    static constexpr Milliseconds maxLoadTimeout { 4000 };

    struct Options {
        StreamName stream { StreamName::Operators };
        uint32_t partition { 0 };

        /// How long the store may hold a read back until there is a record.
        Milliseconds wait { 800 };

        /// Pause between two reads.
        Milliseconds interval { 0 };

        /// Time-outs of a question for newest records.
        CallTimeout::Options loadTimeout { .maxTimeout = maxLoadTimeout };

        /// Called before the newest records are loaded again: what was read before may be out of date.
        std::function<void()> onReload {};
        std::function<void(const KeyedRecord&)> onRecord {};

        /// Called when all records up to the end have been delivered.
        std::function<void()> onCaughtUp {};
    };

    /// `loop` and `store` must outlive the reader.
    StreamReader(EventLoop&, RecordStore&, Options);
    ~StreamReader();

    void start();
    bool hasLoaded() const { return m_loaded; }

    /// When the last read began that showed this process the end of the stream.
    Instant currentAsOf() const { return m_currentAsOf; }

private:
    void load(const std::string& afterKey);
    void loaded(const ReadNewestReply&, bool firstPage);
    void readNext();
    void readFinished(const ReadReply&, Instant begunAt);
    void retry(std::function<void()>);

    EventLoop& m_loop;
    RecordStore& m_store;
    Options m_options;
    LogPosition m_position { 0 };
    CallTimeout m_loadTimeout;
    bool m_loaded { false };
    bool m_caughtUp { false };
    Instant m_currentAsOf { neverInstant };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
