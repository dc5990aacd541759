#include <LibStandIn/AttemptChecks.h>
#include <LibStandIn/OperationChecks.h>
#include <LibStandIn/PlacementChecks.h>
#include <LibStandIn/RecordChecker.h>
#include <LibStandIn/RequestChecks.h>

namespace Bergamot {

std::vector<CheckResult> checkAllPromises(const RunRecords& records)
{
    return { checkCommitments(records), checkOneAttemptAtATime(records), checkResumption(records),
        checkZonesOut(records), checkReplies(records), checkRejections(records), checkNonIdempotent(records),
        checkLeavingWorkers(records), checkPlannedStops(records), checkConfiguration(records) };
}

}
