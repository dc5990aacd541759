#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <optional>

namespace Bergamot {

/// Run times of the completed tasks of one step, used to detect workers that are slow or make no progress. The tasks of
/// a step do about the same amount of work, so a run that takes a multiple of its siblings' run time indicates a slow
/// worker, whatever run time was estimated.
class SiblingRunTimes {
public:
    /// Records the run time of a completed task.
    void record(Milliseconds runTime);

    /// Returns the mean run time of completed siblings, or without any the estimate times a safety margin.
    Milliseconds expected(Milliseconds estimate) const;

    /// Extrapolates the remaining time of a run from its progress so far. Returns std::nullopt for a run that is too
    /// young.
    static std::optional<Milliseconds> remaining(Milliseconds elapsed, uint32_t progressPercent);

private:
    Milliseconds m_total { 0 };
    uint32_t m_runs { 0 };
};

}
