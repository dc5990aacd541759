#pragma once

namespace Bergamot {

/// What happens to a renewal whose terms do not fit the capacity that remains with the largest zone out.
enum class InsufficientCapacityRule {
    Refuse,
    LargestThatFits,
};

}
