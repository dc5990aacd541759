#pragma once

#include <compare>
#include <cstdint>

namespace Bergamot {

/// An amount of processors (thousandths of a core), memory (MB) and accelerators (whole devices).
struct Resources {
    int64_t cpuMillis { 0 };
    int64_t memoryMb { 0 };
    int64_t accelerators { 0 };

    bool operator==(const Resources&) const = default;

    Resources operator+(const Resources& other) const
    {
        return { cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators };
    }

    Resources operator-(const Resources& other) const
    {
        return { cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators };
    }

    /// True when every component is at most that of `limit`.
    bool fitsIn(const Resources& limit) const
    {
        return cpuMillis <= limit.cpuMillis && memoryMb <= limit.memoryMb && accelerators <= limit.accelerators;
    }

    /// True when every component is in [0, maxComponent]. Sums of larger components could overflow.
    bool isValid() const
    {
        constexpr int64_t maxComponent = int64_t { 1 } << 40;
        auto inRange = [](int64_t n) { return n >= 0 && n <= maxComponent; };
        return inRange(cpuMillis) && inRange(memoryMb) && inRange(accelerators);
    }
};

}
