#include <LibStandIn/LatencySummary.h>
#include <algorithm>
#include <cmath>

namespace Bergamot {

double LatencySummary::percentileMs(double share) const
{
    if (m_micros.empty())
        return 0;
    auto sorted = m_micros;
    auto rank = static_cast<size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    auto index = std::clamp<size_t>(rank, 1, sorted.size()) - 1;
    std::ranges::nth_element(sorted, sorted.begin() + static_cast<std::ptrdiff_t>(index));
    static constexpr double microsPerMs = 1000;
    return static_cast<double>(sorted[index]) / microsPerMs;
}

nlohmann::json LatencySummary::toJson() const
{
    return { { "p50", percentileMs(0.5) }, { "p90", percentileMs(0.9) }, { "p99", percentileMs(0.99) },
        { "p999", percentileMs(0.999) }, { "max", percentileMs(1) } };
}

}
