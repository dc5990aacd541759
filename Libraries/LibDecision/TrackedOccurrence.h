#pragma once

#include <LibDecision/TrackedStep.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

struct TrackedOccurrence {
    std::vector<TrackedStep> steps {};
    uint32_t remainingSteps { 0 };
    int64_t dueUnixMs { 0 };
    bool due { true };
};

}
