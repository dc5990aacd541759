#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace Bergamot {

/// Collects latencies in microseconds and computes their percentiles in milliseconds.
class LatencySummary {
public:
    void add(int64_t micros) { m_micros.push_back(micros); }

    /// Returns the nearest-rank percentile in ms: the smallest latency that at least `share` (0 to 1) of all latencies
    /// do not exceed. Returns 0 when there are no latencies.
    double percentileMs(double share) const;
    nlohmann::json toJson() const;

private:
    std::vector<int64_t> m_micros;
};

}
