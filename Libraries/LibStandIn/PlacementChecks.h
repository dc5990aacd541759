#pragma once

#include <LibStandIn/CheckResult.h>
#include <LibStandIn/RunRecords.h>

namespace Bergamot {

/// Grace period after a zone is taken out, or a worker is listed as leaving, in which work may still start there.
inline constexpr int64_t placementGraceMs = 3000;

/// P1: no worker was committed beyond its capacity, rejected a start for lack of capacity, or used more slots or
/// connections than it has.
CheckResult checkCommitments(const RunRecords&);

/// P4: no task started in a zone more than placementGraceMs after the zone was taken out and before it was taken back.
CheckResult checkZonesOut(const RunRecords&);

/// P8: no task or quick request started on a worker more than placementGraceMs after the host list showed the worker as
/// leaving or gone.
CheckResult checkLeavingWorkers(const RunRecords&);

}
