#pragma once

#include <LibCore/Ids.h>
#include <compare>
#include <cstdint>

namespace Bergamot {

/// Identifies one task of a job.
struct TaskRef {
    JobId job {};
    uint32_t occurrence { 0 };
    uint32_t step { 0 };
    uint32_t index { 0 };

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison.
    auto operator<=>(const TaskRef&) const = default;
};

}
