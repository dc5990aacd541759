#pragma once

#include "VirtualCluster.h"
#include <LibStandIn/AttemptChecks.h>
#include <LibStandIn/PlacementChecks.h>
#include <string>

namespace Bergamot {

/// Describes the violations of P1 to P4 in the execution records of the cluster's workers. Empty when there are none.
inline std::string findViolations(VirtualCluster& cluster)
{
    auto records = cluster.records();
    std::string text;
    for (const auto& result : { checkCommitments(records), checkOneAttemptAtATime(records), checkResumption(records),
             checkZonesOut(records) }) {
        for (const auto& violation : result.violations)
            text += result.promise + ": " + violation + "\n";
    }
    return text;
}

}
