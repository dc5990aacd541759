#pragma once

#include <absl/status/status.h>
#include <vector>

namespace Bergamot {

/// Outcome of a batch: one status for each record, in order. A batch that was seen before has none.
struct ApplyResult {
    bool duplicate { false };
    std::vector<absl::Status> statuses {};
};

}
