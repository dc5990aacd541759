#pragma once

#include <LibDecision/TaskRef.h>
#include <cstdint>
#include <tuple>
#include <utility>

namespace Bergamot {

/// Orders runs by task and run number. Containers with this order find a run by a reference to its task; a copy of the
/// task would allocate memory for the name of the job.
struct RunOrder {
    // NOLINTNEXTLINE(readability-identifier-naming): the name that the standard containers look for.
    using is_transparent = void;
    using Key = std::pair<TaskRef, uint64_t>;
    using KeyView = std::pair<const TaskRef&, uint64_t>;

    template <typename A, typename B> bool operator()(const A& a, const B& b) const
    {
        return std::tie(a.first, a.second) < std::tie(b.first, b.second);
    }
};

}
