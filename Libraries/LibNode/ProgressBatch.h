#pragma once

#include <LibWire/JobProgress.h>
#include <LibWire/PressureRecord.h>
#include <LibWire/WorkerRoster.h>
#include <optional>
#include <vector>

namespace Bergamot {

/// What the leader stores in one append.
struct ProgressBatch {
    std::vector<JobProgress> jobs {};
    std::optional<WorkerRoster> roster {};
    std::optional<PressureRecord> pressures {};

    bool isEmpty() const { return jobs.empty() && !roster && !pressures; }
};

}
