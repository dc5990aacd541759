#include "FaultSchedule.h"
#include <LibCore/Digest.h>
#include <PlatformStandIn/Random.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace Bergamot {

/// Delay before the first fault, in which the nodes elect a leader and start work.
static constexpr Milliseconds firstFaultOffset { 3500 };

/// Maximum duration of a fault of the kinds without a maximum of their own.
static constexpr int64_t defaultMaxDurationMs = 3500;

absl::StatusOr<std::vector<FaultKind>> parseFaultKinds(const std::string& text)
{
    std::vector<FaultKind> kinds;
    for (std::string name : std::vector<std::string>(absl::StrSplit(text, ','))) {
        bool isRemoved = name.starts_with('-');
        if (isRemoved)
            name.erase(0, 1);
        if (name != "all" && std::ranges::find(faultNames, name) == faultNames.end())
            return absl::InvalidArgumentError(fmt::format("unknown fault '{}'", name));
        for (size_t n = 0; n < faultNames.size(); ++n) {
            if (name != "all" && name != faultNames[n])
                continue;
            if (isRemoved)
                std::erase(kinds, static_cast<FaultKind>(n));
            else
                kinds.push_back(static_cast<FaultKind>(n));
        }
    }
    return kinds;
}

/// Maximum duration of a fault of this kind in milliseconds. Faults of a single worker's link delay a start command by
/// less than the 2 s that JobChecker allows for it after a cancel.
static int64_t maxDurationMs(FaultKind kind)
{
    switch (kind) {
    case FaultKind::NodeKill:
    case FaultKind::NodeTerminate:
    case FaultKind::AllKill:
        return 1500;
    case FaultKind::WorkerDelay:
    case FaultKind::WorkerSilent:
        return 1800;
    case FaultKind::WorkerZoneSilent:
        // Long enough for the election of a new leader and the expiry of the leases in the zone.
        return 7000;
    case FaultKind::WorkersCutOff:
        // Long enough that entries expire in the platform's list, and that leases expire.
        return 6500;
    case FaultKind::LateCalls:
        // Long enough for the restart, and for a cut-off after it in which leases expire.
        return 12000;
    case FaultKind::WorkerShrinks:
        // Long enough that JobChecker applies the smaller capacity.
        return 9000;
    default:
        return defaultMaxDurationMs;
    }
}

std::vector<Fault> generateFaults(uint64_t seed, const std::vector<FaultKind>& kinds, Milliseconds end)
{
    std::vector<Fault> faults;
    if (kinds.empty())
        return faults;
    Random random(mixDigest(seed, 2));
    auto at = firstFaultOffset;
    while (at < end) {
        auto kind = kinds[static_cast<size_t>(random.between(0, static_cast<int64_t>(kinds.size()) - 1))];
        auto target = static_cast<size_t>(random.between(0, 1000));
        auto duration = Milliseconds { random.between(200, maxDurationMs(kind)) };
        auto delay = Milliseconds { random.between(20, 1200) };
        if (at + duration <= end)
            faults.push_back(
                { .startOffset = at, .kind = kind, .target = target, .duration = duration, .delay = delay });
        at += Milliseconds { random.between(100, 1500) };
    }
    return faults;
}

}
