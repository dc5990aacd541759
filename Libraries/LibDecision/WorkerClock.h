#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Bergamot {

/// What is known of the clock of one incarnation of a worker. It counts milliseconds, starts anew with each
/// incarnation, and runs at any rate between `minRate` and `maxRate` of the local clock.
class WorkerClock {
public:
    static constexpr double minRate { 0.975 };
    static constexpr double maxRate { 1.025 };

    /// Allowance for the resolution of both clocks and for the delivery of a call.
    static constexpr Milliseconds margin { 150 };

    /// Upper bound of the local time in which the clock advances by `ms`, including the margin.
    static Milliseconds maxLocalTime(int64_t ms);

    /// Processes the clock in a reply that is received at `now`.
    void read(int64_t clockMs, Instant requestSentAt, Instant now);

    bool isKnown() const { return m_readAt != neverInstant; }

    /// Time of the last reading; neverInstant before the first one.
    Instant readAt() const { return m_readAt; }

    /// The last reading, advanced by the local time since then.
    int64_t at(Instant now) const { return m_clockMs + (now - m_readAt).count(); }

    /// Local time by which the clock has reached `clockMs` for certain.
    Instant reachedBy(int64_t clockMs) const { return m_readAt + maxLocalTime(clockMs - m_clockMs); }

    /// Whether this clock can show `clockMs` in the reply to a request that was sent at `requestSentAt` and is answered
    /// by `now`. False for most replies of another incarnation. True before the first reading.
    bool canShow(int64_t clockMs, Instant requestSentAt, Instant now) const;

private:
    int64_t m_clockMs { 0 };
    Instant m_requestSentAt { neverInstant };
    Instant m_readAt { neverInstant };
};

}
