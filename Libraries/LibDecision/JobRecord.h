#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <LibDecision/Decision.h>
#include <LibDecision/SchedulerTypes.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Bergamot {

/// `Unused` slots hold no job. `Decided` means that a placement is decided and not yet confirmed by taskPlaced().
enum class SchedulerJobState : uint8_t { Unused, Pending, Decided, Placed, Revoking, Failed };

/// Declared properties of a job, without kind and team, which JobRecord holds as indexes.
struct JobDeclaration {
    JobId id {};
    Resources size {};
    int64_t runMs { 0 };
    std::optional<Instant> deadline {};
    int32_t priority { 0 };
    bool urgent { false };
    bool isService { false };
};

/// Scheduling state of a job.
struct JobRecord {
    JobDeclaration view {};
    SchedulerJobState state { SchedulerJobState::Unused };
    KindIndex kind { 0 };
    TeamIndex team { 0 };
    WorkerIndex worker { noIndex };
    uint32_t attempt { 0 };
    uint32_t failures { 0 };
    uint32_t crashes { 0 };
    uint32_t crashesAlone { 0 };
    Instant submittedAt {};
    Instant placedAt {};
    Instant retryAt {};
    int64_t queueKey { 0 };
    /// Progress at the last checkpoint and as last reported, in thousandths.
    int32_t checkpointedMilli { 0 };
    int32_t progressPerMille { 0 };
    Resources used {};
    double expectedCpuMillis { 0 };
    uint8_t consecutiveOveruseReports { 0 };
    int32_t speedPercent { 100 };
    double throttledCpuMillis { 0 };
    Instant throttledAt {};
    bool isCancelled { false };
    bool isRecovering { false };
    bool isQueued { false };
    /// Set once the scheduler has decided to revoke the attempt; cleared when the attempt ends.
    std::optional<EvictReason> pendingEviction {};
    bool evictWithCheckpoint { true };
    Instant lastDecisionAt {};
    std::optional<EvictReason> lastEvictReason {};
    Instant lastEvictAt {};
    WorkerIndex reservedWorker { noIndex };
    std::vector<WorkerIndex> failedWorkers {};
    std::string failureReason {};

    bool isCommitted() const
    {
        return state == SchedulerJobState::Decided || state == SchedulerJobState::Placed
            || state == SchedulerJobState::Revoking;
    }
};

}
