#pragma once

#include <LibCore/Time.h>
#include <algorithm>
#include <cstddef>

namespace Bergamot {

/// Limits the rate at which lost tasks are restarted when many are lost at once, so that the restarts after the loss
/// of a rack or zone do not slow down the services on the remaining hosts or crowd out ordinary starts.
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

    /// True while recent losses are numerous enough for restarts to be limited.
    bool isActive(Instant now) const { return m_losses > m_threshold && now - m_lastLoss <= recoveryDuration; }

    /// Takes a token for one restart. Returns false if none is available.
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

    /// Returns an unused token of tryAcquire().
    void returnToken(Instant now)
    {
        if (isActive(now))
            m_tokens += 1;
    }

private:
    // The losses of one rack are spread over the time in which its leases expire.
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
