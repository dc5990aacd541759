#pragma once

#include <LibCore/Clock.h>

namespace Bergamot {

/// The clock of one host, which runs at a rate of its own.
class HostClock final : public Clock {
public:
    explicit HostClock(const Clock& clock)
        : m_clock(clock)
        , m_startedAt(clock.now())
    {
    }

    Instant now() const override
    {
        auto passed = static_cast<double>((m_clock.now() - m_startedAt).count()) * rate;
        return m_startedAt + Milliseconds { static_cast<int64_t>(passed) };
    }

    double rate { 1 };

private:
    const Clock& m_clock;
    Instant m_startedAt;
};

}
