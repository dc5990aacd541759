#pragma once

#include <LibStandIn/CheckResult.h>
#include <LibStandIn/RunRecords.h>

namespace Bergamot {

/// Time in which an accepted configuration must be in force at today's sizes.
inline constexpr int64_t configLimitMs = 5000;

/// P9: a planned stop cuts off no request that was sent before it, and none that was sent during it and did run. A
/// request that meets the closed listener is not in progress.
CheckResult checkPlannedStops(const RunRecords&);

/// P10: no daemon reports an older version than one accepted more than the limit ago, or than one it reported before.
/// The time during which a daemon is stopped, and the limit after it, are left out.
CheckResult checkConfiguration(const RunRecords&);

}
