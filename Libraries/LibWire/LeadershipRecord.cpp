#include <LibWire/LeadershipRecord.h>
#include <algorithm>

namespace Bergamot {

absl::Status LeadershipRecord::check() const
{
    if (cpuMillis < 0 || cpuMillis > maxCandidateCpuMillis)
        return absl::InvalidArgumentError("cpuMillis: out of range");
    if (electionAgeMs < 0 || electionAgeMs > maxElectionAgeMs)
        return absl::InvalidArgumentError("electionAgeMs: out of range");
    if (leaderSilentMs < 0 || leaderSilentMs > maxLeaderSilentMs)
        return absl::InvalidArgumentError("leaderSilentMs: out of range");
    if (expectedWaits.size() > maxExpectedWaits)
        return absl::InvalidArgumentError("expectedWaits: too many");
    bool areWaitsInRange = std::ranges::all_of(expectedWaits, [](const ExpectedWait& it) {
        return it.waitMs >= 0 && it.waitMs <= maxExpectedWaitMs && it.service.size() <= maxExpectedWaitNameLength
            && it.image.size() <= maxExpectedWaitNameLength;
    });
    if (!areWaitsInRange)
        return absl::InvalidArgumentError("expectedWaits: out of range");
    return absl::OkStatus();
}

}
