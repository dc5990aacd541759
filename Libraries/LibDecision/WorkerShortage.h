#pragma once

#include <LibCore/Time.h>
#include <cstddef>

namespace Bergamot {

/// Tells whether many workers of a service are out of use for the moment, as those of a zone that is cut off. What is
/// started meanwhile says little of the time after it. A loss that lasts is none.
class WorkerShortage {
public:
    /// Must be called with the number of usable workers in each plan. Returns whether there is a shortage.
    bool update(size_t usableWorkers, Instant now);

private:
    size_t m_usualWorkers { 0 };
    Instant m_lastUsualAt { neverInstant };
};

}
