#pragma once

#include <LibStandIn/CheckResult.h>
#include <LibStandIn/RunRecords.h>

namespace Bergamot {

/// Time after an order or a shown state until which work may still start there.
inline constexpr int64_t placementGraceMs = 3000;

/// P1: no worker was committed, or asked to commit, more than its capacity, slots or connections.
CheckResult checkCommitments(const RunRecords&);

/// P4: no task started in a zone more than the grace time after it was taken out and before it was taken back.
CheckResult checkZonesOut(const RunRecords&);

/// P8: no task or quick request started on a worker more than the grace time after it was shown as leaving.
CheckResult checkLeavingWorkers(const RunRecords&);

}
