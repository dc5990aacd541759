#include <LibDecision/CallTimeout.h>
#include <algorithm>

namespace Bergamot {

static constexpr double smoothingFactor = 0.25;
static constexpr double responseTimeFactor = 5;

void CallTimeout::recordResult(const absl::Status& status, Milliseconds responseTime)
{
    if (status.ok())
        recordReply(responseTime);
    else if (absl::IsDeadlineExceeded(status))
        recordTimeout();
}

void CallTimeout::recordReply(Milliseconds responseTime)
{
    m_smoothedResponseMs += smoothingFactor * (static_cast<double>(responseTime.count()) - m_smoothedResponseMs);
    auto timeout = Milliseconds { static_cast<int64_t>(responseTimeFactor * m_smoothedResponseMs) };
    m_current = std::clamp(timeout, m_options.minTimeout, m_options.maxTimeout);
}

void CallTimeout::recordTimeout() { m_current = std::min(2 * m_current, m_options.maxTimeout); }

}
