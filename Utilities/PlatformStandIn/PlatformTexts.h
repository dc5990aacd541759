#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// The tasks of one step of a job, and how they behave on the worker stand-ins.
struct StepPlan {
    uint32_t count { 1 };
    int64_t cpuMillis { 500 };
    int64_t memoryMb { 256 };
    int64_t durationMs { 300 };

    /// The first runs of each task that end as failed.
    uint32_t failures { 0 };
    bool afterEarlierStep { false };
};

/// A queue of the operator's configuration.
struct QueuePlan {
    std::string name;
    std::string pathPrefix;
    uint32_t priority { 0 };
    uint32_t maxAttempts { 3 };
    int64_t timeoutMs { 3000 };
};

/// The place of one node process.
struct NodePlace {
    std::string name;
    std::string zone;
    std::string ip;
    std::string storeAddress;
};

inline constexpr const char* queueHost = "queues.example";
inline constexpr const char* taskService = "tasks";
inline constexpr uint16_t nodeFrontPort = 8161;
inline constexpr const char* configurationKey = "config";
inline constexpr const char* deadlineHeaderName = "X-Bergamotbay-Deadline-Ms";

/// What the worker stand-ins are told of a job, as the job's own text.
std::string taskSpecText(const std::vector<StepPlan>&);

/// The messages of the platform as its published protocol spells them.
std::string jobText(const std::vector<StepPlan>&);
std::string configurationText(uint64_t version, const std::vector<QueuePlan>&);
std::string settingsText(const NodePlace&, const std::vector<std::string>& zones);
std::string zoneOutKey(const std::string& zone);

}
