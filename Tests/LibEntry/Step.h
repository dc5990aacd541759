#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace Bergamot {

/// A point in the processing of requests, jobs and hosts at which a fault can be injected.
enum class Step : uint8_t {
    Join,
    TakeOverLeadership,
    PublishConfig,
    ListWorker,
    RecordJob,
    ClaimWorker,
    StartTask,
    RenewLease,
    EvictTask,
    StopTask,
    CompleteTask,
    CancelJob,
    ClaimRequest,
    FinishRequest,
    RenewTerms,
    ZoneOut,
    ZoneIn,
    Snapshot
};

inline constexpr std::array<std::string_view, 18> stepNames { "start up", "take over", "publish configuration",
    "list worker", "record job", "claim worker", "start", "renew lease", "evict", "checkpoint and stop", "complete",
    "cancel", "claim request", "answer request", "renew terms", "take zone out", "bring zone back", "snapshot" };

}
