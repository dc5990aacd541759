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

    /// Forgets the times and the repeated starts so far, but not the tasks that have been started.
    void forgetTimes();

    size_t startedTasks() const { return m_tasks.size(); }

    /// Starts of tasks that had been started before.
    size_t repeatedStarts() const { return m_repeatedStarts; }
    /// The first and the last time at which a task started that had not been started before.
    std::optional<Milliseconds> firstStartAt() const { return m_firstStartAt; }
    std::optional<Milliseconds> lastStartAt() const { return m_lastStartAt; }

private:
    std::set<std::string> m_tasks;
    size_t m_repeatedStarts { 0 };
    std::optional<Milliseconds> m_firstStartAt;
    std::optional<Milliseconds> m_lastStartAt;
};

}
