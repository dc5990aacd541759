#pragma once

#include <cstdint>

namespace Bergamot {

/// How many usable workers cannot take a waiting task, by the first reason that applies.
struct WorkerRefusals {
    /// The free resources do not suffice.
    uint32_t noRoom { 0 };

    /// Among `noRoom`: the free resources would not suffice even if all runs had ended that do not last.
    uint32_t noExpectedRoom { 0 };

    /// The free resources would suffice without the best-effort tasks on the worker.
    uint32_t behindBestEffort { 0 };

    /// The processors that a best-effort task may expect to be idle do not suffice.
    uint32_t notIdle { 0 };

    /// The worker is held for a run that has to be isolated.
    uint32_t held { 0 };

    /// The worker is held for runs that are isolated by preference.
    uint32_t heldByPreference { 0 };

    /// The worker is reserved for another task that has waited longer.
    uint32_t reserved { 0 };

    /// The placement constraints of the step exclude the worker.
    uint32_t constraint { 0 };

    /// A best-effort task would slow the serving tasks on the worker.
    uint32_t servingPressure { 0 };

    bool operator==(const WorkerRefusals&) const = default;
};

}
