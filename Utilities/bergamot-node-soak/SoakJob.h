#pragma once

#include <LibCore/Time.h>
#include <PlatformStandIn/PlatformTexts.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Bergamot {

/// What is known of one task from its workers.
struct SoakTask {
    /// Worker and run number of everything that runs now.
    std::vector<std::pair<std::string, uint64_t>> active {};
    uint32_t failedRuns { 0 };
    uint32_t notedFailures { 0 };
    uint32_t starts { 0 };

    /// For each run that ended as done, the number of starts at that time. A crash may lose such an end before it is
    /// acknowledged, and the task then has to start again.
    std::map<uint64_t, uint32_t> startsAtDone {};
    bool doneNoted { false };
};

/// One job, from its caller's and its workers' sides.
struct SoakJob {
    std::string id {};
    QueuePlan queue {};
    std::vector<StepPlan> steps {};
    std::string spec {};
    std::string body {};

    int openAttempts { 0 };
    int rejectedAttempts { 0 };

    /// An attempt without an answer may have been carried out.
    bool hasUnknownAttempt { false };
    std::optional<Instant> acceptedAt {};
    std::optional<Instant> cancelSentAt {};
    std::optional<Instant> cancelledAt {};

    /// All tasks had ended as done when the cancel was acknowledged, so the job may be shown as completed.
    bool doneBeforeCancel { false };

    std::string endState {};
    Instant endShownAt { neverInstant };
    int answersAfterEnd { 0 };

    std::map<std::string, SoakTask> tasks {};
    std::vector<std::string> history {};
    bool hasViolation { false };
};

}
