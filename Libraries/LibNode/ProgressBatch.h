#pragma once

#include <LibWire/AssignedWorkers.h>
#include <LibWire/JobProgress.h>
#include <LibWire/PressureRecord.h>
#include <LibWire/UnansweredStarts.h>
#include <LibWire/UnreachedWorkers.h>
#include <cstddef>
#include <cstdint>
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

    /// Records of the batch that are left out, because they exceed the store's limit or the store refused them for
    /// good, and the jobs among them. What they hold does not count as stored.
    uint32_t omittedRecords { 0 };
    std::vector<JobId> omittedJobs {};

    bool isEmpty() const
    {
        return jobs.empty() && !assignedWorkers && !pressures && !unreachedWorkers && unansweredStarts.empty();
    }
};

}
