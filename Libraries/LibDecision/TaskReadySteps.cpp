#include <LibDecision/StepDeadlines.h>
#include <LibDecision/TaskScheduler.h>
#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

// Adds steps with waiting tasks, with the times until which their jobs can end in time.

namespace Bergamot {

/// Returns the largest sum of estimates along the steps that depend on this one, with its own.
static int64_t chainFromMs(const JobSpec& spec, uint32_t step)
{
    std::vector<int64_t> ends(spec.steps.size(), 0);
    ends[step] = spec.steps[step].estimateMs;
    auto longest = ends[step];
    for (size_t i = step + 1; i < spec.steps.size(); ++i) {
        int64_t begin = 0;
        for (auto earlier : spec.steps[i].dependsOn)
            begin = std::max(begin, earlier < i ? ends[earlier] : 0);
        ends[i] = begin > 0 ? begin + spec.steps[i].estimateMs : 0;
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

/// Returns the estimated time of the failed runs, as far as they delay the job: of each step, those of the task that
/// has failed most often.
static int64_t failedTimeMs(const TrackedJob& job, uint32_t occurrence)
{
    std::map<std::pair<uint32_t, uint32_t>, int64_t> failures;
    for (const auto& failed : job.failedRuns) {
        if (failed.occurrence == occurrence && failed.step < job.spec.steps.size())
            ++failures[{ failed.step, failed.index }];
    }
    std::map<uint32_t, int64_t> timeOfStep;
    for (const auto& [task, count] : failures) {
        auto& time = timeOfStep[task.first];
        time = std::max(time, count * job.spec.steps[task.first].estimateMs);
    }
    int64_t sum = 0;
    for (const auto& [step, time] : timeOfStep)
        sum += time;
    return sum;
}

void TaskScheduler::addReadyStep(TrackedJob& job, uint32_t occurrence, uint32_t step)
{
    const auto& spec = job.spec;
    // Each occurrence of a repeating job has the time of a job that is accepted when the occurrence is due.
    auto acceptedAtMs = spec.repeats > 0 ? job.occurrences[occurrence].dueUnixMs : spec.acceptedAtMs;
    auto objectiveMs = acceptedAtMs + job.objectiveUnixMs - spec.acceptedAtMs;
    ReadyStep ready { .job = &job, .occurrence = occurrence, .step = step };
    ready.key = { policyOf(job).priority, objectiveMs, ++m_readySequence };
    if (!spec.steps[step].longRunning) {
        // The runs that a job fails by itself count as its work.
        auto failedMs
            = static_cast<int64_t>(policyOf(job).stretch * static_cast<double>(failedTimeMs(job, occurrence)));
        ready.deadlines = StepDeadlines::create(acceptedAtMs, objectiveMs + failedMs, chainFromMs(spec, step));
    }
    m_readySteps.add(ready);
}

}
