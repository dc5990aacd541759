#pragma once

#include <cstdint>

namespace Bergamot {

/// Whether the next run of a task has to be the only suspect on its worker.
enum class RunIsolation : uint8_t {
    None,
    /// The task runs isolated if a worker for that is available at once.
    Preferred,
    /// The task waits until it can run isolated.
    Required
};

}
