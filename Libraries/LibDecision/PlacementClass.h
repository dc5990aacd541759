#pragma once

#include <LibDecision/ImageNumber.h>
#include <compare>
#include <optional>
#include <string_view>

namespace Bergamot {

/// Groups waiting tasks that share all placement criteria except their size and the placement constraints of their
/// step.
struct PlacementClass {
    std::string_view service {};
    bool longRunning { false };

    /// Image number in the pressure model; set for best-effort tasks only.
    std::optional<BestEffortImage> bestEffortImage {};

    auto operator<=>(const PlacementClass&) const = default; // NOLINT(modernize-use-nullptr)
};

}
