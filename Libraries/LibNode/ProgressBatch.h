#pragma once

#include <LibWire/AssignedWorkers.h>
#include <LibWire/JobProgress.h>
#include <LibWire/PressureRecord.h>
#include <LibWire/UnreachedWorkers.h>
#include <optional>
#include <vector>

namespace Bergamot {

/// State changes that the leader stores in one append to the progress stream.
struct ProgressBatch {
    std::vector<JobProgress> jobs {};
    std::optional<AssignedWorkers> assignedWorkers {};
    std::optional<PressureRecord> pressures {};
    std::optional<UnreachedWorkers> unreachedWorkers {};

    bool isEmpty() const { return jobs.empty() && !assignedWorkers && !pressures && !unreachedWorkers; }
};

}
