#include <LibDecision/SlowStart.h>
#include <algorithm>

namespace Bergamot {

absl::StatusOr<SlowStart> SlowStart::create(Options options)
{
    if (options.window <= Milliseconds(0) || options.window > std::chrono::hours(1))
        return absl::InvalidArgumentError("slow start: the window is out of range");
    if (options.initialWeightMillis < 1 || options.initialWeightMillis > 1000)
        return absl::InvalidArgumentError("slow start: the initial weight is not between 1 and 1000 thousandths");
    return SlowStart(options);
}

int64_t SlowStart::weightMillis(Milliseconds age) const
{
    const auto clamped = std::clamp(age, Milliseconds(0), m_options.window);
    return m_options.initialWeightMillis
        + (1000 - m_options.initialWeightMillis) * clamped.count() / m_options.window.count();
}

}
