#pragma once

#include <LibCore/Ids.h>
#include <LibWire/CrashedRun.h>
#include <LibWire/FailedRun.h>
#include <LibWire/IdleTask.h>
#include <LibWire/JobStage.h>
#include <LibWire/OccurrenceRange.h>
#include <LibWire/PlacedTask.h>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Bergamot {

/// Progress of one job, stored so that a new leader can resume the job. The newest record of a job replaces the earlier
/// ones.
struct JobProgress {
    JobId id {};
    JobStage state { JobStage::Queued };

    /// One string of '0' and '1' for each step of each occurrence, in order; '1' marks a completed task. Occurrences
    /// that are left out at the end have no completed task. Empty once the job has ended.
    std::vector<std::string> done {};
    std::vector<FailedRun> failedRuns {};
    std::vector<CrashedRun> crashedRuns {};

    /// Tasks that the author starts only once it has stored a record without them. A successor need not wait for
    /// unreached workers with them, unless a leader in between is of a version without this field.
    std::vector<IdleTask> idleTasks {};

    /// The leader that stored the record; 0 from versions without this field.
    uint64_t epoch { 0 };

    /// Tasks that the author starts on another worker only once it has stored a record that says so. A successor waits
    /// with them for this worker only, unless a leader in between is of a version without this field.
    std::vector<PlacedTask> placedTasks {};

    /// Occurrences that have ended, and the numbers of those that `done` describes. Both are empty while `done`
    /// describes all from 0 on, as it does in jobs with few ended occurrences. Leaders of versions without these fields
    /// take the strings for those of the first occurrences: they run ended occurrences again and leave none out.
    std::vector<OccurrenceRange> endedOccurrences {};
    std::vector<uint32_t> doneOccurrences {};

    bool operator==(const JobProgress&) const = default;
    MSGPACK_DEFINE_ARRAY(
        id, state, done, failedRuns, crashedRuns, idleTasks, epoch, placedTasks, endedOccurrences, doneOccurrences)
};

}
