#pragma once

#include <cstdint>
#include <random>

namespace Bergamot {

/// Numbers that follow from a seed in the same way with every standard library.
class Random {
public:
    explicit Random(uint64_t seed)
        : m_engine(seed)
    {
    }

    /// From `low` to `high`, both included.
    int64_t between(int64_t low, int64_t high)
    {
        return low + static_cast<int64_t>(m_engine() % static_cast<uint64_t>(high - low + 1));
    }

    bool chance(int percent) { return between(1, 100) <= percent; }

private:
    std::mt19937_64 m_engine;
};

}
