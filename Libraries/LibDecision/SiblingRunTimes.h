#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <optional>

namespace Bergamot {

/// Run times of the tasks of one step that have ended, and what that says of a run that is still active. Answers
/// workers that turn slow or let tasks stand still: the tasks of a step have about the same work, so a run that takes a
/// multiple of its siblings' time shows a bad worker, whatever was estimated.
class SiblingRunTimes {
public:
    /// Takes the run time of a task that is done.
    void record(Milliseconds runTime);

    /// The run time to expect: that of ended siblings, else the estimate with a margin for its error.
    Milliseconds expected(Milliseconds estimate) const;

    /// Time that a run needs to its end if it goes on as it has; nothing while it is too young to tell.
    static std::optional<Milliseconds> remaining(Milliseconds elapsed, uint32_t progressPercent);

private:
    Milliseconds m_total { 0 };
    uint32_t m_runs { 0 };
};

}
