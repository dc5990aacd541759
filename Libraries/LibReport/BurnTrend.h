#pragma once

#include <LibReport/BurnCounts.h>
#include <cstddef>
#include <string>
#include <vector>

namespace Bergamot {

/// Time series of the request counts of one service, oldest entry first. Intervals are relative to the time of the
/// slice, so that trends of hosts with different clocks can be summed.
struct BurnTrend {
    static constexpr size_t recentCount = 72;
    static constexpr size_t dailyCount = 28;

    std::string service {};
    std::vector<BurnCounts> recent {}; ///< 5 minutes per entry.
    std::vector<BurnCounts> daily {}; ///< 24 hours per entry.

    bool operator==(const BurnTrend&) const = default;
};

}
