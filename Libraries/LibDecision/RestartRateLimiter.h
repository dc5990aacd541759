#pragma once

#include <LibCore/Time.h>
#include <algorithm>
#include <cstddef>

namespace Bergamot {

/// Bounds the rate at which lost tasks are restarted when many are lost at once, so that the starts of a lost rack or
/// zone do not slow down the services on the remaining hosts or crowd out ordinary starts.
class RestartRateLimiter {
public:
    RestartRateLimiter(double startsPerSecond, size_t threshold)
        : m_rate(startsPerSecond)
        , m_threshold(threshold)
    {
    }

    void recordLoss(Instant now)
    {
        if (now - m_lastLoss > lossWindow)
            m_losses = 0;
        m_lastLoss = now;
        ++m_losses;
    }

    /// True while losses are recent and numerous enough to be paced.
    bool isActive(Instant now) const { return m_losses > m_threshold && now - m_lastLoss <= recoveryDuration; }

    /// Takes the right to one restart; false when the pace is used up.
    bool tryAcquire(Instant now)
    {
        if (!isActive(now))
            return true;
        double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
        m_tokens = std::min(m_rate, m_tokens + seconds * m_rate);
        m_refilledAt = now;
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    /// Returns a right that take() granted and that was not used.
    void returnToken(Instant now)
    {
        if (isActive(now))
            m_tokens += 1;
    }

private:
    // Losses of one rack arrive over the time in which its leases lapse.
    static constexpr Milliseconds lossWindow { 60'000 };
    static constexpr Milliseconds recoveryDuration { 600'000 };

    double m_rate;
    size_t m_threshold;
    size_t m_losses { 0 };
    Instant m_lastLoss {};
    Instant m_refilledAt {};
    double m_tokens { 1 };
};

}
