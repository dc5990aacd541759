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

    /// `done` is called once on the control thread; an empty result means that there is no complete snapshot.
    void start(Done);

private:
    struct Partial {
        uint32_t chunks { 0 };
        uint64_t digest { 0 };
        std::map<uint32_t, std::string> parts;
    };

    void readNext();
    void handle(absl::StatusOr<LogChunk>);
    void take(const Record&);
    void finishWhenComplete(LogPosition);

    LogService& m_log;
    std::string m_stream;
    Executor m_executor;
    Done m_done;
    LogPosition m_position { 0 };
    std::map<LogPosition, Partial> m_partials;
    std::optional<ClusterState> m_newest;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
