#pragma once

#include <LibDecision/TaskRef.h>
#include <cstdint>
#include <string>

namespace Bergamot {

/// One run that a worker lists as running.
struct RunReport {
    TaskRef task {};
    uint64_t run { 0 };
    std::string checkpoint {};

    /// Share of the work that is done; for a long-running task, 100 means that it is at work.
    uint32_t progressPercent { 0 };

    /// Over the last half second: the tail latency in ms of a long-running task, or the processors in use, in
    /// thousandths of a core, of any other.
    int64_t recentMeasurement { 0 };

    bool operator==(const RunReport&) const = default;
};

}
