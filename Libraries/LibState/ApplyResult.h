#pragma once

#include <LibCore/Ids.h>
#include <absl/status/status.h>
#include <cstddef>
#include <map>
#include <vector>

namespace Bergamot {

/// Outcome of a batch: one status for each record, in order. A batch that was seen before has none.
struct ApplyResult {
    bool duplicate { false };
    std::vector<absl::Status> statuses {};

    /// For each accepted TaskEnded, by index in the batch, the worker that the attempt held resources on.
    std::map<size_t, WorkerId> releasedWorkers {};

    WorkerId endedOn(size_t index) const
    {
        auto it = releasedWorkers.find(index);
        return it == releasedWorkers.end() ? WorkerId {} : it->second;
    }
};

}
