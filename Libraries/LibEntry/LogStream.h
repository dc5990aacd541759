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

/// Replicates one log stream: reads its entries, applies them to the local copy of the cluster state, and appends
/// records to it. Starts from the newest complete snapshot in the stream "snapshot-<name>".
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

    /// Called for each batch after it is applied.
    using BatchObserver = std::function<void(const RecordBatch&, const ApplyResult&)>;
    /// Called after each read that reaches the head of the stream, with the local time at which the request was sent.
    using ReadObserver = std::function<void(Instant requestSentAt)>;

    explicit LogStream(Options);

    void setBatchObserver(BatchObserver observer) { m_batchObserver = std::move(observer); }
    void setReadObserver(ReadObserver observer) { m_readObserver = std::move(observer); }

    void tick(Instant now);

    const ClusterState& state() const { return m_state; }
    AppendQueue& appends() { return m_appends; }
    const AppendQueue& appends() const { return m_appends; }
    const std::string& name() const { return m_options.name; }

    /// True once this process has read up to the head of the stream.
    bool hasCaughtUp() const { return m_hasCaughtUp; }

    /// Replaces the local state with `state` if that is newer. False when the local state is kept.
    bool adoptIfNewer(ClusterState);

    /// Applies an entry that a peer relayed if it is the next one. The relayed bytes include the entry's log time.
    void applyRelayed(LogPosition, const std::string& relayed);

    /// Recent entries from position `from`, encoded for a peer that cannot read the log. Empty when the entry at `from`
    /// is no longer held.
    std::vector<std::string> recentEntries(LogPosition from) const;

    /// Number of entries applied since the last snapshot was written or loaded.
    uint64_t entriesSinceSnapshot() const { return m_state.position() - m_snapshotPosition; }
    void recordSnapshot(LogPosition position) { m_snapshotPosition = position; }

private:
    void read(Instant now);
    void readFinished(Instant requestSentAt, absl::StatusOr<LogChunk>);
    void applyEntry(const LogEntry&);
    void loadSnapshot(Instant now);
    void snapshotLoaded(absl::StatusOr<std::optional<ClusterState>>);

    Options m_options;
    ClusterState m_state;
    AppendQueue m_appends;
    std::unique_ptr<SnapshotReader> m_snapshotReader;
    BatchObserver m_batchObserver;
    ReadObserver m_readObserver;
    Instant m_nextRead { neverInstant };
    std::deque<LogEntry> m_recentEntries;
    LogPosition m_snapshotPosition { 0 };
    bool m_isReading { false };
    bool m_hasTriedSnapshot { false };
    bool m_hasCaughtUp { false };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
