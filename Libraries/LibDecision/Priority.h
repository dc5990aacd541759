#pragma once

namespace Bergamot {

/// Priority class of a quick request, most important first.
enum class Priority {
    Critical,
    Normal,
    Sheddable,
};

inline constexpr int priorityCount = 3;

}
