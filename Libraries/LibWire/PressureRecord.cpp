#include <LibWire/PressureRecord.h>
#include <algorithm>
#include <cmath>

namespace Bergamot {

absl::Status PressureRecord::check() const
{
    auto isUsable = [](double value) { return std::isfinite(value) && value >= 0; };
    if (!std::ranges::all_of(baseTailLatencies, isUsable, &BaseTailLatency::tailLatencyMs)
        || !std::ranges::all_of(pairs, isUsable, &PairPressure::pressure))
        return absl::InvalidArgumentError("an estimate is negative or not a finite number");
    return absl::OkStatus();
}

}
