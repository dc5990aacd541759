#pragma once

#include <LibDecision/StepTimeline.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// What a log says of a job: where it came from, when it is late, and how long each of its steps that are done took.
struct JobTimeline {
    std::string queue {};
    int64_t objectiveUnixMs { 0 };
    uint32_t failedRuns { 0 };

    /// The limit that its failed runs were judged by.
    uint32_t maxAttempts { 0 };
    std::vector<StepTimeline> steps {};

    bool operator==(const JobTimeline&) const = default;
};

}
