#pragma once

#include <LibStandIn/CheckResult.h>
#include <LibStandIn/RunRecords.h>

namespace Bergamot {

/// P5: a successful answer is whole, belongs to its own request and comes from an execution; every execution belongs
/// to a request that was sent.
CheckResult checkAnswers(const RunRecords&);

/// P6: an execution belongs to a try that was sent before it and was not answered with "did not run", and no job ran
/// whose submission was refused.
CheckResult checkRefusals(const RunRecords&);

/// P7: a non-idempotent key was executed at most once.
CheckResult checkNonIdempotent(const RunRecords&);

}
