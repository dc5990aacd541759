#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// The tasks of one step of a generated job, and their behaviour on the worker stand-ins.
struct StepPlan {
    uint32_t count { 1 };
    int64_t cpuMillis { 500 };
    int64_t memoryMb { 256 };
    int64_t durationMs { 300 };

    /// Number of runs of each task that end as failed before a run succeeds.
    uint32_t failingRuns { 0 };

    /// Time from its start until the first task of the step crashes its worker, at most `durationMs`. 0 for a step
    /// without such a task.
    int64_t crashAfterMs { 0 };
    bool dependsOnPreviousStep { false };
};

/// A job queue of the configuration that the operator publishes.
struct QueuePlan {
    std::string name;
    std::string pathPrefix;
    uint32_t priority { 0 };
    uint32_t maxAttempts { 3 };
    int64_t timeoutMs { 3000 };
};

/// Name, zone and addresses of one node process. `storeAddress` is where this node reaches the store stand-in.
struct NodeLocation {
    std::string name;
    std::string zone;
    std::string ip;
    std::string storeAddress;
};

inline constexpr const char* queueHost = "queues.example";
inline constexpr const char* taskService = "tasks";
inline constexpr uint16_t nodeIngressPort = 8161;
inline constexpr const char* configurationKey = "config";
inline constexpr const char* deadlineHeaderName = "X-Bergamotbay-Deadline-Ms";

/// Encodes the behaviour of the tasks for the worker stand-ins. The platform passes this spec through unchanged, from
/// the submitted job to the commands that start its tasks.
std::string taskSpecText(const std::vector<StepPlan>&);

/// Request body of a job submission, in the JSON format of the platform's published protocol.
std::string jobText(const std::vector<StepPlan>&);

/// Value of the operator's configuration record, in the JSON format of the platform's published protocol.
std::string configurationText(uint64_t version, const std::vector<QueuePlan>&);

/// Settings file of a node, in TOML.
std::string settingsText(const NodeLocation&, const std::vector<std::string>& zones);

/// Key of the operator record that takes a zone out of service.
std::string zoneEvacuationKey(const std::string& zone);

}
