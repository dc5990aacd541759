#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Resources.h>
#include <cstdint>
#include <string>

namespace Bergamot {

/// `Leaving` and `Draining` workers get no new tasks. The platform sets `Leaving`, operators set `Draining`.
enum class WorkerState : uint8_t { Live, Leaving, Draining };

/// Description of a worker for the batch scheduler.
struct WorkerView {
    WorkerId id {};
    ZoneId zone {};
    std::string rack {};
    Resources capacity {};
    WorkerState state { WorkerState::Live };

    bool operator==(const WorkerView&) const = default;
};

}
