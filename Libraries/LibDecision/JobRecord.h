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

enum class JobState : uint8_t { Free, Pending, Decided, Placed, Revoking, Failed };

/// What the caller declared, without kind and team, which are interned.
struct JobDeclaration {
    JobId id {};
    Resources size {};
    int64_t runMs { 0 };
    std::optional<Instant> deadline {};
    int32_t priority { 0 };
    bool urgent { false };
    bool isService { false };
};

/// A job as the scheduler holds it.
struct JobRecord {
    JobDeclaration view {};
    JobState state { JobState::Free };
    KindIndex kind { 0 };
    TeamIndex team { 0 };
    WorkerIndex worker { noIndex };
    uint32_t attempt { 0 };
    uint32_t failures { 0 };
    Instant submittedAt {};
    Instant placedAt {};
    Instant retryAt {};
    int64_t queueKey { 0 };
    /// Progress at the last checkpoint and as last reported, in thousandths.
    int32_t savedMilli { 0 };
    int32_t progressMilli { 0 };
    Resources used {};
    double expectedCpu { 0 };
    uint8_t overUseReports { 0 };
    int32_t throttlePercent { 100 };
    double withheldCpu { 0 };
    Instant throttledAt {};
    bool cancelled { false };
    bool recovering { false };
    bool queued { false };
    /// Set once the scheduler has decided to revoke the attempt; cleared when the attempt ends.
    std::optional<EvictReason> evicting {};
    bool evictWithCheckpoint { true };
    Instant evictDecidedAt {};
    std::optional<EvictReason> lastEvictReason {};
    Instant lastEvictAt {};
    WorkerIndex reservedWorker { noIndex };
    std::vector<WorkerIndex> failedOn {};
    std::string failure {};

    bool isCommitted() const
    {
        return state == JobState::Decided || state == JobState::Placed || state == JobState::Revoking;
    }
};

}
