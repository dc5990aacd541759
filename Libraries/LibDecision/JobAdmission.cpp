#include <LibDecision/CriticalPath.h>
#include <LibDecision/JobAdmission.h>
#include <LibDecision/StepDeadlines.h>
#include <algorithm>
#include <cstdint>

namespace Bergamot {

static const ExpectedWait* longestWaitOf(
    const JobSpec& job, const QueuePolicy& policy, const std::vector<ExpectedWait>& waits)
{
    const ExpectedWait* longest = nullptr;
    for (const auto& wait : waits) {
        bool concernsJob = wait.service == policy.service && std::ranges::any_of(job.steps, [&](const StepSpec& step) {
            return step.bestEffort && step.image == wait.image;
        });
        if (concernsJob && (!longest || wait.waitMs > longest->waitMs))
            longest = &wait;
    }
    return longest;
}

std::optional<ServiceOverload> overloadFor(
    const JobSpec& job, const QueuePolicy& policy, const std::vector<ExpectedWait>& waits)
{
    if (job.repeats > 0 || std::ranges::any_of(job.steps, &StepSpec::longRunning))
        return std::nullopt;
    const auto* wait = longestWaitOf(job, policy, waits);
    if (!wait)
        return std::nullopt;
    auto chainMs = static_cast<double>(criticalPathMs(job));
    auto objectiveMs = policy.stretch * chainMs + policy.targetLatencyMs;
    ServiceOverload overload { .image = wait->image,
        .expectedWait = Milliseconds { wait->waitMs },
        .maxWait = Milliseconds { static_cast<int64_t>(std::max(0.0, lateObjectives * objectiveMs - chainMs)) } };
    return overload.expectedWait > overload.maxWait ? std::optional(overload) : std::nullopt;
}

}
