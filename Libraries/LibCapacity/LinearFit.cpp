#include <LibCapacity/LinearFit.h>
#include <algorithm>
#include <cmath>

namespace Bergamot {

absl::StatusOr<LinearFit> fitLine(const std::vector<SizedValue>& points)
{
    double meanSize = 0;
    double meanValue = 0;
    for (const auto& point : points) {
        if (!std::isfinite(point.size) || !std::isfinite(point.value))
            return absl::InvalidArgumentError("a value is not finite");
        meanSize += point.size / static_cast<double>(points.size());
        meanValue += point.value / static_cast<double>(points.size());
    }
    double spread = 0;
    double covariance = 0;
    for (const auto& point : points) {
        spread += (point.size - meanSize) * (point.size - meanSize);
        covariance += (point.size - meanSize) * (point.value - meanValue);
    }
    if (spread == 0)
        return absl::InvalidArgumentError("a line needs two different sizes");
    LinearFit fit { .slope = covariance / spread };
    fit.intercept = meanValue - fit.slope * meanSize;
    for (const auto& point : points) {
        if (point.value != 0)
            fit.largestResidual
                = std::max(fit.largestResidual, std::abs((fit.at(point.size) - point.value) / point.value));
    }
    return fit;
}

}
