#pragma once

#include <LibDecision/TaskRef.h>
#include <cstdint>
#include <string>

namespace Bergamot {

/// State of one run that a worker lists as running.
struct RunReport {
    TaskRef task {};
    uint64_t run { 0 };
    std::string checkpoint {};

    /// Completed percentage of the work; for a long-running task, 100 means that it is serving.
    uint32_t progressPercent { 0 };

    /// Measurement over the last half second: the tail latency of a long-running task in ms, or the processor use of
    /// any other task in thousandths of a core.
    int64_t recentMeasurement { 0 };

    bool operator==(const RunReport&) const = default;
};

}
