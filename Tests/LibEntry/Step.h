#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace Bergamot {

/// A point in the life of requests, jobs and hosts at which a fault can strike.
enum class Step : uint8_t {
    Join,
    TakeOver,
    PublishConfig,
    ListWorker,
    Record,
    Claim,
    Start,
    Renew,
    Evict,
    Stop,
    Complete,
    Cancel,
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
