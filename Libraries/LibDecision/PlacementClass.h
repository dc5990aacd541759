#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace Bergamot {

/// Waiting tasks that differ in size and in rules of their step only; the choice of a worker treats them alike.
struct PlacementClass {
    std::string_view service {};
    bool longRunning { false };

    /// The image of tasks that fill.
    std::optional<uint32_t> bestEffortImage {};

    auto operator<=>(const PlacementClass&) const = default; // NOLINT(modernize-use-nullptr)
};

}
