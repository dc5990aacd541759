#include <LibWire/JobLimits.h>
#include <LibWire/JobSpec.h>
#include <LibWire/Utf8.h>
#include <algorithm>
#include <fmt/format.h>

namespace Bergamot {

static absl::Status checkStep(const StepSpec& step, size_t index)
{
    auto problem
        = [&](const char* text) { return absl::InvalidArgumentError(fmt::format("steps[{}].{}", index, text)); };
    if (step.count < 1 || step.count > maxTasksPerStep)
        return problem("count: out of range");
    for (auto amount : { step.size.cpuMillis, step.size.memoryMb, step.size.accelerators }) {
        if (amount < 0 || amount > maxTaskResource)
            return problem("size: out of range");
    }
    if (std::ranges::any_of(step.dependsOn, [&](uint32_t it) { return it >= index; }))
        return problem("dependsOn: not the index of an earlier step");
    return absl::OkStatus();
}

absl::Status JobSpec::checkWork() const
{
    if (steps.empty() || steps.size() > maxStepsPerJob)
        return absl::InvalidArgumentError(fmt::format("steps: must be an array of 1 to {} steps", maxStepsPerJob));
    int64_t tasks = 0;
    for (size_t i = 0; i < steps.size(); ++i) {
        if (auto status = checkStep(steps[i], i); !status.ok())
            return status;
        tasks += steps[i].count;
    }
    auto occurrences = std::max<int64_t>(1, repeats);
    if (occurrences > maxRepeatsPerJob || tasks * occurrences > maxTasksPerJob)
        return absl::InvalidArgumentError(fmt::format("steps: more than {} tasks including repeats", maxTasksPerJob));
    bool isInRange = firstDueMs >= 0 && firstDueMs <= maxUnixMs && intervalMs >= 0
        && intervalMs <= (maxUnixMs - firstDueMs) / std::max<int64_t>(1, occurrences - 1);
    if (!isInRange)
        return absl::InvalidArgumentError("the due time of an occurrence is out of range");
    return absl::OkStatus();
}

absl::Status JobSpec::check() const
{
    if (id.empty() || !isUtf8(id))
        return absl::InvalidArgumentError("id: empty or not UTF-8");
    if (!isUtf8(payload))
        return absl::InvalidArgumentError("payload: not UTF-8");
    if (acceptedAtMs < 0 || acceptedAtMs > maxUnixMs)
        return absl::InvalidArgumentError("acceptedAtMs: out of range");
    // The comparison is false for a value that is not a number.
    if (policyAtAcceptance && !(policyAtAcceptance->stretch >= 0 && policyAtAcceptance->stretch <= maxStretch))
        return absl::InvalidArgumentError("policyAtAcceptance.stretch: out of range");
    return checkWork();
}

}
