#pragma once

#include <LibCore/Ids.h>
#include <absl/status/status.h>
#include <cstddef>
#include <map>
#include <vector>

namespace Bergamot {

/// Result of applying a batch: one status for each record, in order. A batch that was applied before has no statuses.
struct ApplyResult {
    bool duplicate { false };
    std::vector<absl::Status> statuses {};

    /// For each accepted TaskEnded, by index in the batch, the worker whose resources the attempt held.
    std::map<size_t, WorkerId> releasedWorkers {};

    /// Returns an empty id when the record released no worker's resources.
    WorkerId findReleasedWorker(size_t index) const
    {
        auto it = releasedWorkers.find(index);
        return it == releasedWorkers.end() ? WorkerId {} : it->second;
    }
};

}
