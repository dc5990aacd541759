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
            return absl::InvalidArgumentError("a size or value is not finite");
        meanSize += point.size / static_cast<double>(points.size());
        meanValue += point.value / static_cast<double>(points.size());
    }
    double sizeVariation = 0;
    double covariance = 0;
    for (const auto& point : points) {
        sizeVariation += (point.size - meanSize) * (point.size - meanSize);
        covariance += (point.size - meanSize) * (point.value - meanValue);
    }
    if (sizeVariation == 0)
        return absl::InvalidArgumentError("a line fit needs at least two distinct sizes");
    LinearFit fit { .slope = covariance / sizeVariation };
    fit.intercept = meanValue - fit.slope * meanSize;
    for (const auto& point : points) {
        if (point.value != 0)
            fit.maxRelativeResidual
                = std::max(fit.maxRelativeResidual, std::abs((fit.at(point.size) - point.value) / point.value));
    }
    return fit;
}

}
