#include <LibDecision/WorkerShortage.h>

namespace Bergamot {

/// With fewer of the usual workers there is a shortage.
static constexpr double minUsualShare = 0.95;

/// After this time the remaining workers are the usual ones.
static constexpr Milliseconds maxShortage { 15000 };

bool WorkerShortage::update(size_t usableWorkers, Instant now)
{
    if (usableWorkers >= m_usualWorkers || now - m_lastUsualAt >= maxShortage)
        m_usualWorkers = usableWorkers;
    bool isShort = static_cast<double>(usableWorkers) < minUsualShare * static_cast<double>(m_usualWorkers);
    if (!isShort)
        m_lastUsualAt = now;
    return isShort;
}

}
