#pragma once

#include <LibCore/Time.h>
#include <PlatformStandIn/RunObserver.h>
#include <cstddef>
#include <optional>
#include <set>
#include <string>

namespace Bergamot {

/// Records when worker stand-ins started tasks, as Unix time, which the logs of the nodes use too.
class StartRecorder final : public RunObserver {
public:
    void runStarted(const Run&, const std::string& spec, const WorkerLoad&) override;
    void capacityChanged(const std::string&, const WorkerCapacity&) override { }
    void runEnded(const Run&, const std::string&) override { }
    void endAcknowledged(const Run&, const std::string&) override { }
    void workerCrashed(const std::string&, const std::string&) override { }
    uint32_t failedRuns(const std::string&) const override { return 0; }

    size_t startedTasks() const { return m_tasks.size(); }
    std::optional<Milliseconds> firstStartAt() const { return m_firstStartAt; }

    /// The last time at which a task started that had not been started before.
    std::optional<Milliseconds> lastNewStartAt() const { return m_lastNewStartAt; }

private:
    std::set<std::string> m_tasks;
    std::optional<Milliseconds> m_firstStartAt;
    std::optional<Milliseconds> m_lastNewStartAt;
};

}
