#pragma once

#include "JobRecords.h"
#include "NodeLog.h"
#include "RecoveryResult.h"
#include "StartRecorder.h"
#include <LibCore/SteadyClock.h>
#include <LibPlatform/KeyedRecord.h>
#include <LibPlatform/StreamName.h>
#include <PlatformStandIn/StoreTraffic.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Bergamot::Platform {
class PlatformStore;
}

namespace Bergamot {

class EventLoop;
class HttpEngine;
class NodeGroup;
class StoreStandIn;
class TaskWorker;

/// Measures one recovery: the store is filled with the records of ended jobs, a node process starts most of the live
/// jobs and is killed, and a second process takes over. The store and the workers are stand-ins in the process of the
/// caller.
class RecoveryRun {
public:
    struct Options {
        uint64_t seed { 1 };
        uint64_t endedJobs { 0 };
        uint64_t liveJobs { 1000 };

        /// The program bergamot-node.
        std::string program {};

        /// An existing folder for settings, logs and process ids.
        std::string folder {};
    };

    explicit RecoveryRun(Options);
    ~RecoveryRun();

    /// Returns Unavailable when a stand-in or a node cannot be started, or when the store cannot be filled.
    absl::StatusOr<RecoveryResult> run();

private:
    enum class Stage : uint8_t { Filling, FirstLeader, Recovery, Observing, Closing };

    std::string hostAddress(size_t number) const;
    absl::Status startStandIns();
    void startNode(const std::string& name);
    void checkStage();
    void enter(Stage, Milliseconds maxTime);
    void fill(uint64_t firstJob, uint64_t endJob, std::function<void()> onDone);
    void append(StreamName, uint32_t partition, std::vector<KeyedRecord>, std::function<void()> onDone);
    uint64_t jobsOfFirstLeader() const;
    void startFirstLeader();
    void killFirstLeader();
    bool hasSettled(uint64_t startedJobs) const;
    void measure();
    void fail(absl::Status);
    void close();

    Options m_options;
    JobRecords m_records;
    SteadyClock m_clock;
    std::unique_ptr<EventLoop> m_loop;
    std::unique_ptr<HttpEngine> m_engine;
    StartRecorder m_starts;
    std::unique_ptr<StoreStandIn> m_store;
    std::unique_ptr<Platform::PlatformStore> m_storeClient;
    std::vector<std::unique_ptr<TaskWorker>> m_workers;

    /// One group for each process that was started, the current one last.
    std::vector<std::unique_ptr<NodeGroup>> m_nodes;
    NodeLog m_log { {} };
    Stage m_stage { Stage::Filling };
    Instant m_stageEndsAt { neverInstant };
    StoreTraffic m_trafficBefore;
    RecoveryResult m_result;
    absl::Status m_status;
};

}
