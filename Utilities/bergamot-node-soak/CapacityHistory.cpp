#include "CapacityHistory.h"
#include <algorithm>

namespace Bergamot {

void CapacityHistory::record(Instant time, WorkerCapacity capacity) { m_changes.emplace_back(time, capacity); }

WorkerCapacity CapacityHistory::largestSince(Instant begin) const
{
    WorkerCapacity largest;
    for (size_t n = 0; n < m_changes.size(); ++n) {
        bool endedBefore = n + 1 < m_changes.size() && m_changes[n + 1].first <= begin;
        if (endedBefore)
            continue;
        largest.cpuMillis = std::max(largest.cpuMillis, m_changes[n].second.cpuMillis);
        largest.memoryMb = std::max(largest.memoryMb, m_changes[n].second.memoryMb);
    }
    return largest;
}

}
