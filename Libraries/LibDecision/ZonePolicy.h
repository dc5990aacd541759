#pragma once

#include <LibCore/Time.h>
#include <LibDecision/SchedulerState.h>
#include <vector>

namespace Bergamot {

/// Determines the order in which tasks leave a zone and the rate at which the zone is refilled.
class ZonePolicy {
public:
    explicit ZonePolicy(bool refillsGradually, bool ordersEvictions)
        : m_refillsGradually(refillsGradually)
        , m_ordersEvictions(ordersEvictions)
    {
    }

    /// Records that the zone was taken out of service or returned to service.
    void zoneChanged(ZoneIndex, bool out, Instant now);
    /// True if a placement in the zone is within its refill rate.
    bool canPlace(ZoneIndex, size_t workersInZone, Instant now) const;
    void recordPlacement(ZoneIndex);
    /// Sorts tasks so that those with the most unsaved work come first. If the zone stops before all checkpoints are
    /// taken, the least work is lost. Services come last, because resources for their replacements are searched for
    /// in the meantime.
    void sortForEviction(const SchedulerState&, std::vector<JobIndex>&, Instant now) const;

private:
    struct Refill {
        bool isActive { false };
        Instant startedAt {};
        uint64_t placed { 0 };
    };

    bool m_refillsGradually { true };
    bool m_ordersEvictions { true };
    std::vector<Refill> m_refills;
};

}
