#pragma once

#include <cstdint>
#include <random>

namespace Bergamot {

/// Pseudo-random numbers whose sequence depends only on the seed. The distributions of the standard library are not
/// used, because their results differ between implementations.
class Random {
public:
    explicit Random(uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Returns a number from `min` to `max`, both inclusive.
    int64_t between(int64_t min, int64_t max)
    {
        return min + static_cast<int64_t>(m_engine() % static_cast<uint64_t>(max - min + 1));
    }

    bool chance(int percent) { return between(1, 100) <= percent; }

private:
    std::mt19937_64 m_engine;
};

}
