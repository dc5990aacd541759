#pragma once

#include <LibCore/Time.h>
#include <LibDecision/SchedulerState.h>
#include <vector>

namespace Bergamot {

/// Order in which a zone is emptied and pace at which it is filled again.
class ZonePolicy {
public:
    explicit ZonePolicy(bool refillsGradually, bool ordersEvictions)
        : m_refillsGradually(refillsGradually)
        , m_ordersEvictions(ordersEvictions)
    {
    }

    /// The zone has been taken out or returned.
    void zoneChanged(ZoneIndex, bool out, Instant now);
    /// True when a placement into the zone is within the refill pace.
    bool canPlace(ZoneIndex, size_t workersInZone, Instant now) const;
    void recordPlacement(ZoneIndex);
    /// Sorts tasks so that the ones with the most unsaved work come first: if the zone stops before all checkpoints
    /// are taken, the least is lost. Services come last, because their replacement room is sought meanwhile.
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
