#pragma once

#include <LibStandIn/CheckResult.h>
#include <LibStandIn/RunRecords.h>
#include <vector>

namespace Bergamot {

/// Runs the checks of all promises, P1 to P10, in this order.
std::vector<CheckResult> checkAllPromises(const RunRecords&);

}
