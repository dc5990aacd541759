#include "FaultSchedule.h"
#include "Random.h"
#include <LibCore/Digest.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace Bergamot {

/// The nodes have elected a leader and started work before the first fault.
static constexpr Milliseconds firstFaultAt { 3500 };

/// The longest of most faults.
static constexpr int64_t longestMs = 3500;

absl::StatusOr<std::vector<FaultKind>> parseFaultKinds(const std::string& text)
{
    std::vector<FaultKind> kinds;
    for (const std::string& name : std::vector<std::string>(absl::StrSplit(text, ','))) {
        for (size_t n = 0; n < faultNames.size(); ++n) {
            if (name == "all" || name == faultNames[n])
                kinds.push_back(static_cast<FaultKind>(n));
        }
        if (name != "all" && std::ranges::find(faultNames, name) == faultNames.end())
            return absl::InvalidArgumentError(fmt::format("unknown fault '{}'", name));
    }
    return kinds;
}

/// The longest duration of a fault of this kind. A worker's link holds an order back for less than the bound that
/// cancelled jobs are checked with.
static int64_t longestOf(FaultKind kind)
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
        // Outlasts the election of a leader, and the leases of what runs there.
        return 7000;
    default:
        return longestMs;
    }
}

std::vector<Fault> drawFaults(uint64_t seed, const std::vector<FaultKind>& kinds, Milliseconds end)
{
    std::vector<Fault> faults;
    if (kinds.empty())
        return faults;
    Random random(mixDigest(seed, 2));
    auto at = firstFaultAt;
    while (at < end) {
        auto kind = kinds[static_cast<size_t>(random.between(0, static_cast<int64_t>(kinds.size()) - 1))];
        auto target = static_cast<size_t>(random.between(0, 1000));
        auto duration = Milliseconds { random.between(200, longestOf(kind)) };
        auto delay = Milliseconds { random.between(20, 1200) };
        if (at + duration <= end)
            faults.push_back({ .at = at, .kind = kind, .target = target, .duration = duration, .delay = delay });
        at += Milliseconds { random.between(100, 1500) };
    }
    return faults;
}

}
