#pragma once

#include <absl/status/statusor.h>
#include <vector>

namespace Bergamot {

/// One measured value at one size.
struct SizedValue {
    double size { 0 };
    double value { 0 };

    bool operator==(const SizedValue&) const = default;
};

/// A line fitted by ordinary least squares. `maxRelativeResidual` is the maximum of |fitted - measured| / |measured|
/// over all points; points whose measured value is zero are excluded from it.
struct LinearFit {
    double slope { 0 };
    double intercept { 0 };
    double maxRelativeResidual { 0 };

    double at(double size) const { return intercept + slope * size; }
};

/// Returns InvalidArgument when a size or value is not finite or when there are fewer than two distinct sizes.
absl::StatusOr<LinearFit> fitLine(const std::vector<SizedValue>&);

}
