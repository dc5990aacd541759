#include <LibDecision/CallTimeout.h>
#include <algorithm>

namespace Bergamot {

static constexpr double smoothing = 0.25;
static constexpr double usualTimesFactor = 5;

void CallTimeout::observe(const absl::Status& status, Milliseconds responseTime)
{
    if (status.ok())
        answered(responseTime);
    else if (absl::IsDeadlineExceeded(status))
        timedOut();
}

void CallTimeout::answered(Milliseconds responseTime)
{
    m_usualMs += smoothing * (static_cast<double>(responseTime.count()) - m_usualMs);
    auto wanted = Milliseconds { static_cast<int64_t>(usualTimesFactor * m_usualMs) };
    m_current = std::clamp(wanted, m_options.minTimeout, m_options.maxTimeout);
}

void CallTimeout::timedOut() { m_current = std::min(2 * m_current, m_options.maxTimeout); }

}
