#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Bergamot {

/// How many isolated runs may be active at once. Each may take its worker down, so the limit bounds the number of
/// workers that are expected to be down because of them: it grows as isolated runs turn out to be harmless, which they
/// are where workers crash for other reasons than their tasks.
class IsolationLimit {
public:
    void recordHarmlessRun(Instant now) { recordOutcome(0, now); }
    void recordCrash(Instant now) { recordOutcome(1, now); }

    /// The limit while every isolated run may crash its worker, for `workers` workers of all services.
    static uint32_t initialLimitFor(uint32_t workers);

    /// The limit for `workers` workers of all services.
    uint32_t limitFor(uint32_t workers, Instant now) const;

private:
    void recordOutcome(double crashed, Instant now);
    double crashShareAt(Instant now) const;

    /// Smoothed share of the isolated runs that crashed their workers, as of `m_updatedAt`.
    double m_crashShare { 1 };
    Instant m_updatedAt { neverInstant };
};

}
