#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Bergamot {

/// Decides at which share of their speed the tasks that fill one worker may work, from the tail latency of the tasks
/// that serve there. Answers interference: reduces fast before a target is missed and recovers slowly.
class PaceController {
public:
    /// Takes the largest ratio of tail latency to target on the worker; 0 when nothing serves there.
    void update(double worstRatio, Instant now);

    uint32_t percent() const { return m_percent; }

private:
    uint32_t m_percent { 100 };
    Instant m_changedAt { neverInstant };
};

}
