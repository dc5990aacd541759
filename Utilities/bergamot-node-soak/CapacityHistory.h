#pragma once

#include <LibCore/Time.h>
#include <PlatformStandIn/WorkerCapacity.h>
#include <utility>
#include <vector>

namespace Bergamot {

/// The capacities that a worker has had, by time.
class CapacityHistory {
public:
    /// Records the capacity from this time on. Times must not go back.
    void record(Instant, WorkerCapacity);

    /// Returns the largest processor time and the largest memory at any time from `begin` on.
    WorkerCapacity largestSince(Instant begin) const;

private:
    std::vector<std::pair<Instant, WorkerCapacity>> m_changes;
};

}
