#include <LibWire/LeadershipRecord.h>

namespace Bergamot {

absl::Status LeadershipRecord::check() const
{
    if (cpuMillis < 0 || cpuMillis > maxCandidateCpuMillis)
        return absl::InvalidArgumentError("cpuMillis: out of range");
    if (electionAgeMs < 0 || electionAgeMs > maxElectionAgeMs)
        return absl::InvalidArgumentError("electionAgeMs: out of range");
    if (leaderSilentMs < 0 || leaderSilentMs > maxLeaderSilentMs)
        return absl::InvalidArgumentError("leaderSilentMs: out of range");
    return absl::OkStatus();
}

}
