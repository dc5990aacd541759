#pragma once

#include <LibDecision/SchedulerState.h>
#include <algorithm>

namespace Bergamot {

/// Weighted dominant-resource fairness: the team with the smallest dominant share, which is its largest share of any
/// resource divided by its weight, comes first.
class FairShare {
public:
    static double dominantShare(const TeamRecord& team, const Resources& total)
    {
        auto share = [](int64_t part, int64_t whole) {
            return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
        };
        double largest = std::max({ share(team.committed.cpuMillis, total.cpuMillis),
            share(team.committed.memoryMb, total.memoryMb), share(team.committed.accelerators, total.accelerators) });
        return largest / team.view.weight;
    }

    static bool isWithinQuota(const TeamRecord& team, const Resources& size)
    {
        return (team.committed + size).fitsIn(team.view.quota);
    }

    /// True if the team's quota or its permission to borrow admits a further commitment of `size`.
    static bool isAllowed(const TeamRecord& team, const Resources& size)
    {
        return team.view.mayBorrow || isWithinQuota(team, size);
    }
};

}
