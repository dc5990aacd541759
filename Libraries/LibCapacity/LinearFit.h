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

/// A least-squares line. `largestResidual` is the largest distance of a measured value from the line, relative to that
/// value; zero values are left out of it.
struct LinearFit {
    double slope { 0 };
    double intercept { 0 };
    double largestResidual { 0 };

    double at(double size) const { return intercept + slope * size; }
};

/// Returns InvalidArgument for values that are not finite and for fewer than two different sizes.
absl::StatusOr<LinearFit> fitLine(const std::vector<SizedValue>&);

}
