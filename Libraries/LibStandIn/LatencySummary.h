#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace Bergamot {

/// Latencies in microseconds, and their percentiles in milliseconds.
class LatencySummary {
public:
    void add(int64_t micros) { m_micros.push_back(micros); }

    /// The smallest value that at least `share` (0 to 1) of all values do not exceed, in ms; 0 without values.
    double percentileMs(double share) const;
    nlohmann::json toJson() const;

private:
    std::vector<int64_t> m_micros;
};

}
