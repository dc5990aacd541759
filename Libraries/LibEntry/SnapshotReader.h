#pragma once

#include <LibEntry/Executor.h>
#include <LibPlatform/LogService.h>
#include <LibState/ClusterState.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Bergamot {

/// Reads a snapshot stream from its oldest entry to its head and keeps the newest complete snapshot.
class SnapshotReader {
public:
    using Done = std::function<void(absl::StatusOr<std::optional<ClusterState>>)>;

    SnapshotReader(LogService& log, std::string stream, Executor executor)
        : m_log(log)
        , m_stream(std::move(stream))
        , m_executor(std::move(executor))
    {
    }

    /// Starts reading. The callback is called once on the control thread; without a complete snapshot the result is
    /// std::nullopt.
    void start(Done);

private:
    struct PartialSnapshot {
        uint32_t chunkCount { 0 };
        uint64_t digest { 0 };
        std::map<uint32_t, std::string> bytesByIndex;
    };

    void readNext();
    void readFinished(absl::StatusOr<LogChunk>);
    void processRecord(const Record&);
    void decodeIfComplete(LogPosition);

    LogService& m_log;
    std::string m_stream;
    Executor m_executor;
    Done m_done;
    LogPosition m_position { 0 };
    std::map<LogPosition, PartialSnapshot> m_partials;
    std::optional<ClusterState> m_newestState;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
