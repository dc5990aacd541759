#pragma once

#include <cstdint>
#include <string_view>

namespace Bergamot {

/// The simulated interference between kinds of work on the same worker, which the scheduler cannot read and has to
/// infer. The table depends on the seed only.
class InterferenceTable {
public:
    static constexpr double maxSlowdown = 1.5;

    explicit InterferenceTable(uint64_t seed)
        : m_seed(seed)
    {
    }

    /// Returns the relative extra run time of `victim` per unit of CPU load of `aggressor` on the worker, in
    /// [0, maxSlowdown). The distribution is skewed: most pairs interfere little and a few interfere strongly.
    double slowdown(std::string_view victim, std::string_view aggressor) const;

    /// Returns a pseudo-random value in [0, 1) that depends on the seed and the text only.
    double fraction(std::string_view text) const;

private:
    uint64_t m_seed;
};

}
