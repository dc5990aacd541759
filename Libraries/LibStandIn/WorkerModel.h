#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/LeaseRenewal.h>
#include <LibPlatform/LeaseReport.h>
#include <LibPlatform/StartReply.h>
#include <LibPlatform/StopReply.h>
#include <LibPlatform/TaskStart.h>
#include <LibStandIn/ExecutionRecord.h>
#include <LibStandIn/InterferenceTable.h>
#include <LibStandIn/ServiceCall.h>
#include <LibStandIn/StartFault.h>
#include <LibStandIn/TaskRecord.h>
#include <LibStandIn/WorkerModelOptions.h>
#include <LibStandIn/WorkerRecord.h>
#include <absl/status/statusor.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Bergamot {

/// One simulated worker: tasks under leases, progress with interference, and slots for quick requests. Callers pass the
/// local time, which must not decrease, so that tests run in virtual time. Not thread-safe.
class WorkerModel {
public:
    /// An admitted quick request. It holds its slot until endRequest().
    struct AdmittedRequest {
        size_t slot { 0 };
        std::chrono::microseconds serviceTime { 0 };
    };

    explicit WorkerModel(WorkerModelOptions);

    StartReply start(const TaskStart&, Instant now);
    LeaseReport renew(const LeaseRenewal&, Instant now);
    StopReply stop(const TaskId&, bool withCheckpoint, Instant now);

    /// Returns NotFound when the attempt is not running and InvalidArgument when `cpuPercent` is not in 1 to 100.
    absl::Status throttle(const TaskId&, int cpuPercent, Instant now);
    absl::StatusOr<std::string> checkpoint(const TaskId&, Instant now);

    /// Returns ResourceExhausted, without executing the request, when no slot is free.
    absl::StatusOr<AdmittedRequest> beginRequest(const ServiceCall&, Instant now);
    void endRequest(size_t slot, Instant now);

    /// Ends all tasks that complete, fail or lose their lease by `now`. All other
    /// non-const calls that take the time call this function first.
    void advance(Instant now);

    /// Simulates a crash: all running tasks are lost and neither they nor earlier ended tasks are reported any more.
    void loseEverything(Instant now);

    /// Simulates a new process, which knows no task of the one before.
    void restart(Instant now);
    void setStartFault(StartFault fault) { m_startFault = fault; }
    void setSlowFactor(double factor, Instant now);
    void recordConnections(int64_t inUse);

    int64_t clockMs(Instant now) const { return now.time_since_epoch().count() + m_options.clockOffsetMs; }
    const WorkerModelOptions& options() const { return m_options; }
    const std::vector<TaskRecord>& taskRecords() const { return m_taskRecords; }
    const std::vector<ExecutionRecord>& executionRecords() const { return m_executionRecords; }
    const WorkerRecord& record() const { return m_record; }
    size_t runningTasks() const { return m_running.size(); }
    Resources committed() const;

private:
    struct Running {
        TaskStart start;
        int64_t leaseUntilMs { 0 };
        double progress { 0 };
        double cpuShare { 1 };
        std::string lastCheckpoint;
        int64_t startedMs { 0 };
        std::optional<int64_t> failsAtMs;
        size_t record { 0 };
    };

    struct Ended {
        EndedTask task;
        bool hasStarted { false };
        bool acknowledged { false };
        std::optional<size_t> record;
    };

    struct Slot {
        bool isBusy { false };
        std::optional<size_t> record;
    };

    StartReply reject(const TaskStart&, std::string reason, Instant now);
    void admit(const TaskStart&, Instant now, double progress);
    void finish(const TaskId&, TaskOutcome, std::string checkpointText, std::string result, int64_t endMs);
    double progressRateOf(const Running&) const;
    double slowdownOf(std::string_view kind, const Running* self) const;
    int64_t nextEventMs(const Running&) const;
    bool endIfDue(const TaskId&);
    void advanceProgress(int64_t localMs);
    Resources usageOf(const Running&) const;
    std::string takeCheckpoint(Running&);

    WorkerModelOptions m_options;
    InterferenceTable m_interference;
    std::mt19937_64 m_random;
    std::lognormal_distribution<double> m_serviceTime;
    int64_t m_nowMs { 0 };
    double m_slowFactor { 1 };
    StartFault m_startFault { StartFault::None };
    std::map<TaskId, Running> m_running;
    std::map<TaskId, Ended> m_ended;
    std::map<JobId, uint32_t> m_highestAttempt;
    std::vector<Slot> m_slots;
    std::vector<TaskRecord> m_taskRecords;
    std::vector<ExecutionRecord> m_executionRecords;
    WorkerRecord m_record;
};

}
