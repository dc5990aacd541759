#pragma once

#include <LibCore/Clock.h>
#include <LibEntry/AppendQueue.h>
#include <LibEntry/SnapshotReader.h>
#include <LibPlatform/LogService.h>
#include <LibState/ClusterState.h>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Bergamot {

/// One log stream as this process sees it: the fold, the reader that feeds it and the queue that appends to it.
/// Starts from the newest complete snapshot in the stream "snapshot-<name>".
class LogStream {
public:
    struct Options {
        LogService* log { nullptr };
        const Clock* clock { nullptr };
        std::string name {};
        MemberId member {};
        uint64_t incarnation { 0 };
        Executor executor {};
        Milliseconds readWait { 500 };
    };

    /// Called for each batch after it was applied.
    using Observer = std::function<void(const RecordBatch&, const ApplyResult&)>;
    /// Called after each successful read with the local time at which the request was sent.
    using ReadObserver = std::function<void(Instant began)>;

    explicit LogStream(Options);

    void setObserver(Observer observer) { m_observer = std::move(observer); }
    void setReadObserver(ReadObserver observer) { m_readObserver = std::move(observer); }

    void tick(Instant now);

    const ClusterState& state() const { return m_state; }
    AppendQueue& appends() { return m_appends; }
    const AppendQueue& appends() const { return m_appends; }
    const std::string& name() const { return m_options.name; }

    /// True once this process has read up to the head of the stream.
    bool hasCaughtUp() const { return m_caughtUp; }

    /// Takes over the state of a peer when it is newer than the own one.
    bool adopt(ClusterState);

    /// Applies an entry that a peer has relayed, when it is the next one. Its log time is that of the relay's sender.
    void applyRelayed(LogPosition, const std::string& relayed);

    /// Recent entries from `from` on for a peer that cannot read the log; empty when they are no longer held.
    std::vector<std::string> recentEntries(LogPosition from) const;

    /// Entries applied since the last snapshot that was taken or loaded.
    uint64_t entriesSinceSnapshot() const { return m_state.position() - m_snapshotPosition; }
    void noteSnapshot(LogPosition position) { m_snapshotPosition = position; }

private:
    void read(Instant now);
    void readFinished(Instant began, absl::StatusOr<LogChunk>);
    void applyEntry(const LogEntry&);
    void loadSnapshot(Instant now);
    void snapshotLoaded(absl::StatusOr<std::optional<ClusterState>>);

    Options m_options;
    ClusterState m_state;
    AppendQueue m_appends;
    std::unique_ptr<SnapshotReader> m_snapshotReader;
    Observer m_observer;
    ReadObserver m_readObserver;
    Instant m_nextRead { neverInstant };
    std::deque<LogEntry> m_recent;
    LogPosition m_snapshotPosition { 0 };
    bool m_reading { false };
    bool m_snapshotTried { false };
    bool m_caughtUp { false };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
