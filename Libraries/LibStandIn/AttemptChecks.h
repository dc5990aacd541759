#pragma once

#include <LibStandIn/CheckResult.h>
#include <LibStandIn/RunRecords.h>

namespace Bergamot {

/// Time in which the end of an attempt must show: declaring an attempt lost takes about 40 s (D7 of the design page).
inline constexpr int64_t resumptionLimitMs = 60'000;

/// P2: no attempt runs twice, no two attempts of one job overlap, and no job completes twice.
CheckResult checkOneAttemptAtATime(const RunRecords&);

/// P3: each attempt resumes from the checkpoint that was recorded last, and a job that was evicted and whose end the
/// daemon reports as completed did complete on a worker. An end that was not acknowledged may not have been recorded,
/// so the attempt after it may also resume from an older checkpoint. No job stays open for longer than the limit after
/// its last attempt has ended.
CheckResult checkResumption(const RunRecords&);

}
