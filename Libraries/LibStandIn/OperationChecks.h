#pragma once

#include <LibStandIn/CheckResult.h>
#include <LibStandIn/RunRecords.h>

namespace Bergamot {

/// Maximum time between the acceptance of a configuration and its use on every daemon, at the present cluster sizes.
inline constexpr int64_t configLimitMs = 5000;

/// P9: a planned stop cuts off no request that was sent before the stop, and none that was sent during the stop and was
/// executed. A request that finds the listener closed does not count as in progress.
CheckResult checkPlannedStops(const RunRecords&);

/// P10: no daemon reports a configuration version older than one that was accepted more than configLimitMs ago, or
/// older than one that the daemon reported before. Reports from the time in which a daemon is stopped, and from
/// configLimitMs after its restart, are not checked.
CheckResult checkConfiguration(const RunRecords&);

}
