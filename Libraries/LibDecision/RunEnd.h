#pragma once

#include <LibDecision/TaskRef.h>
#include <cstdint>
#include <string>

namespace Bergamot {

enum class RunOutcome : uint8_t { Done, Failed, Stopped, LeaseExpired, GangBroken, GangIncomplete };

/// The end of a run, as reported by its worker.
struct RunEnd {
    /// Position in the worker's list of ended runs; counts up from 1 within one incarnation of the worker.
    uint64_t sequence { 0 };
    TaskRef task {};
    uint64_t run { 0 };
    RunOutcome outcome { RunOutcome::Done };
    std::string checkpoint {};

    bool operator==(const RunEnd&) const = default;
};

}
