#include <LibDecision/ZonePolicy.h>
#include <algorithm>

namespace Bergamot {

// Starts per worker and second at the beginning of a refill. The rate grows by the same amount every
// `refillStepSeconds`. It is limited because starting a task takes processor time from the services on the host.
static constexpr double refillStartsPerWorker = 0.5;
static constexpr double refillStepSeconds = 10.0;
static constexpr Milliseconds refillDuration { 30'000 };

void ZonePolicy::zoneChanged(ZoneIndex zone, bool out, Instant now)
{
    if (m_refills.size() <= zone)
        m_refills.resize(zone + 1);
    m_refills[zone] = { .isActive = !out, .startedAt = now };
}

bool ZonePolicy::canPlace(ZoneIndex zone, size_t workersInZone, Instant now) const
{
    if (!m_refillsGradually || zone >= m_refills.size() || !m_refills[zone].isActive)
        return true;
    const auto& refill = m_refills[zone];
    if (now - refill.startedAt >= refillDuration)
        return true;
    double seconds = std::chrono::duration<double>(now - refill.startedAt).count();
    double allowed = static_cast<double>(workersInZone) * refillStartsPerWorker
        * (seconds + seconds * seconds / (2 * refillStepSeconds));
    return static_cast<double>(refill.placed) < allowed + 1;
}

void ZonePolicy::recordPlacement(ZoneIndex zone)
{
    if (zone < m_refills.size())
        ++m_refills[zone].placed;
}

// Upper bound of the processor time since the last checkpoint, in thousandths of a core times milliseconds. It counts
// from the placement. Services get -1, so that they sort last.
static double unsavedWork(const JobRecord& job, Instant now)
{
    if (job.view.isService)
        return -1;
    double elapsed = std::chrono::duration<double, std::milli>(now - job.placedAt).count();
    return elapsed * static_cast<double>(job.view.size.cpuMillis);
}

void ZonePolicy::sortForEviction(const SchedulerState& state, std::vector<JobIndex>& tasks, Instant now) const
{
    if (!m_ordersEvictions)
        return;
    std::ranges::stable_sort(
        tasks, std::greater {}, [&](JobIndex index) { return unsavedWork(state.jobs[index], now); });
}

}
