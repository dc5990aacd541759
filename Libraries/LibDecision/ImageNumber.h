#pragma once

#include <cstdint>
#include <variant>

namespace Bergamot {

/// Number of an image of best-effort tasks in the pressure model. The pressure of `Untracked` is 0.
enum class BestEffortImage : uint32_t { Untracked = 0 };

/// Number of an image of serving tasks in the pressure model, which learns nothing about `Untracked`.
enum class ServingImage : uint32_t { Untracked = 0xffffffff };

/// The number of a step's image; std::monostate for short tasks that are not best-effort.
using ImageNumber = std::variant<std::monostate, BestEffortImage, ServingImage>;

}
