#pragma once

#include <LibStandIn/CheckResult.h>
#include <LibStandIn/RunRecords.h>

namespace Bergamot {

/// Maximum time between the end of a job's last attempt and the job leaving its open state. Declaring an attempt lost
/// takes about 40 s (D7 of the design page).
inline constexpr int64_t resumptionLimitMs = 60'000;

/// P2: no attempt runs twice, no two attempts of one job overlap, and no job completes twice.
CheckResult checkOneAttemptAtATime(const RunRecords&);

/// P3: each attempt resumes from the checkpoint that was recorded last, and each job that the daemon reports as
/// completed did complete on a worker. The end of an attempt that was not acknowledged may not have been recorded, so
/// the next attempt may also resume from an older checkpoint. No job stays open for more than resumptionLimitMs after
/// its last attempt has ended.
CheckResult checkResumption(const RunRecords&);

}
