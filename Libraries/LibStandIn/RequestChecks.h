#pragma once

#include <LibStandIn/CheckResult.h>
#include <LibStandIn/RunRecords.h>

namespace Bergamot {

/// P5: every successful reply is complete, carries the digest of its own request and stems from an execution; every
/// execution belongs to a request that was sent.
CheckResult checkReplies(const RunRecords&);

/// P6: every execution belongs to a try that was sent before the execution and whose reply did not state `ran: no`, and
/// no job ran whose submission was rejected.
CheckResult checkRejections(const RunRecords&);

/// P7: a non-idempotent key was executed at most once.
CheckResult checkNonIdempotent(const RunRecords&);

}
