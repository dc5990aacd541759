#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Resources.h>
#include <cstdint>
#include <string>

namespace Bergamot {

/// `Leaving` and `Draining` workers get no new tasks. `Leaving` is said by the platform, `Draining` by operators.
enum class WorkerState : uint8_t { Live, Leaving, Draining };

/// A worker as the batch scheduler sees it.
struct WorkerView {
    WorkerId id {};
    ZoneId zone {};
    std::string rack {};
    Resources capacity {};
    WorkerState state { WorkerState::Live };

    bool operator==(const WorkerView&) const = default;
};

}
