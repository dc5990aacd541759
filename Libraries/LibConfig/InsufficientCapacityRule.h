#pragma once

namespace Bergamot {

/// The action for a renewal whose terms exceed the capacity that remains when the largest zone is unavailable.
enum class InsufficientCapacityRule {
    Refuse,
    LargestThatFits,
};

}
