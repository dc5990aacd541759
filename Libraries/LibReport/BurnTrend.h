#pragma once

#include <LibReport/BurnCounts.h>
#include <cstddef>
#include <string>
#include <vector>

namespace Bergamot {

/// The course of one service's counts, oldest first. Entries are counted back from the time of the slice, so that
/// trends of hosts with different clocks can be added up.
struct BurnTrend {
    static constexpr size_t recentCount = 72;
    static constexpr size_t dailyCount = 28;

    std::string service {};
    std::vector<BurnCounts> recent {}; ///< Five minutes each.
    std::vector<BurnCounts> daily {}; ///< 24 hours each.

    bool operator==(const BurnTrend&) const = default;
};

}
