#pragma once

#include <cstdint>
#include <string_view>

namespace Bergamot {

/// The hidden truth about how much one kind of work slows another on the same worker. It follows from the seed alone.
class InterferenceTable {
public:
    static constexpr double maxSlowdown = 1.5;

    explicit InterferenceTable(uint64_t seed)
        : m_seed(seed)
    {
    }

    /// Extra time of `victim` for each unit of load of `aggressor` on the worker, in [0, maxSlowdown). Most pairs
    /// hardly disturb each other and a few disturb a lot.
    double slowdown(std::string_view victim, std::string_view aggressor) const;

    /// A value in [0, 1) that depends on the seed and the text only.
    double fraction(std::string_view text) const;

private:
    uint64_t m_seed;
};

}
