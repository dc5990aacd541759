#include <LibDecision/RetryAdvice.h>
#include <algorithm>

namespace Bergamot {

static constexpr uint32_t mostSeconds = 4;

uint32_t RetryAdvice::seconds(Milliseconds outage, uint64_t callerHash)
{
    constexpr Milliseconds second { 1000 };
    auto elapsed = static_cast<uint32_t>(std::max<int64_t>(0, outage / second));
    // Young outages are mostly short, so their callers come back soonest and are not spread.
    auto spread = elapsed == 0 ? 0 : static_cast<uint32_t>(callerHash % 2);
    return std::min(1 + elapsed / 2 + spread, mostSeconds);
}

}
