#pragma once

#include <LibCore/Time.h>
#include <PlatformStandIn/PlatformMessages.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Bergamot {

/// State of one task as its workers report it.
struct SoakTask {
    /// Worker and run number of each active run.
    std::vector<std::pair<std::string, uint64_t>> activeRuns {};
    uint32_t failedRuns { 0 };
    uint32_t acknowledgedFailures { 0 };
    uint32_t startCount { 0 };

    /// For each run that ended as done, the number of starts of the task until then. When a worker crashes before the
    /// leader acknowledges such an end, the end is lost and the task has to start again.
    std::map<uint64_t, uint32_t> startCountAtDone {};
    bool isDoneAcknowledged { false };

    /// Worker crashes that this task caused, and crashes from any cause of workers that it ran on.
    uint32_t causedCrashes { 0 };
    uint32_t crashesWhileRunning { 0 };
    uint32_t startsAfterCrashLimit { 0 };
};

/// State of one job as its caller and its workers observe it.
struct SoakJob {
    std::string id {};
    QueuePlan queue {};
    std::vector<StepPlan> steps {};
    std::string spec {};
    std::string body {};

    int pendingSubmissions { 0 };
    int rejectedSubmissions { 0 };

    /// Whether a submission got no reply. Such a submission may have been carried out.
    bool hasUnansweredSubmission { false };
    std::optional<Instant> acceptedAt {};
    std::optional<Instant> cancelSentAt {};
    std::optional<Instant> cancelledAt {};

    /// Whether all tasks had ended as done when the cancel was acknowledged. The job may then be shown as completed.
    bool doneBeforeCancel { false };

    std::string endState {};
    Instant endReportedAt { neverInstant };
    int repliesAfterEnd { 0 };

    std::map<std::string, SoakTask> tasks {};
    std::vector<std::string> history {};
    bool hasViolation { false };
};

}
