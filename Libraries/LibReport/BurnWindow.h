#pragma once

#include <LibReport/BurnCounts.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Bergamot {

/// Time windows of the burn report, all ending now. The enum value is the index in WindowCounts.
enum class BurnWindow : uint8_t { FiveMinutes, OneHour, SixHours, ThreeDays, TwentyEightDays };

inline constexpr size_t burnWindowCount = 5;

/// Request counts of each window, indexed by BurnWindow.
using WindowCounts = std::array<BurnCounts, burnWindowCount>;

inline constexpr std::array<std::string_view, burnWindowCount> burnWindowNames { "5m", "1h", "6h", "3d", "28d" };
inline constexpr int64_t minutesPerDay = 1440;
inline constexpr std::array<int64_t, burnWindowCount> burnWindowMinutes { 5, 60, 360, 3 * minutesPerDay,
    28 * minutesPerDay };

inline const BurnCounts& countsOf(const WindowCounts& counts, BurnWindow window)
{
    return counts[static_cast<size_t>(window)];
}

}
