#pragma once

namespace Bergamot {

/// Priority class of a quick request, from the highest to the lowest priority.
enum class Priority {
    Critical,
    Normal,
    Sheddable,
};

inline constexpr int priorityCount = 3;

}
