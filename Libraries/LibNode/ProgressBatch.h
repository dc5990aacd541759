#pragma once

#include <LibWire/AssignedWorkers.h>
#include <LibWire/JobProgress.h>
#include <LibWire/PressureRecord.h>
#include <LibWire/UnansweredStarts.h>
#include <LibWire/UnreachedWorkers.h>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace Bergamot {

/// State changes that the leader stores in one append to the progress stream.
struct ProgressBatch {
    std::vector<JobProgress> jobs {};
    std::optional<AssignedWorkers> assignedWorkers {};
    std::optional<PressureRecord> pressures {};
    std::optional<UnreachedWorkers> unreachedWorkers {};

    /// The changed lists, by number.
    std::map<size_t, UnansweredStarts> unansweredStarts {};

    bool isEmpty() const
    {
        return jobs.empty() && !assignedWorkers && !pressures && !unreachedWorkers && unansweredStarts.empty();
    }
};

}
