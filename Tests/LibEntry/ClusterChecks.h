#pragma once

#include "VirtualCluster.h"
#include <LibStandIn/AttemptChecks.h>
#include <LibStandIn/PlacementChecks.h>
#include <string>

namespace Bergamot {

/// Violations of P1 to P4 in what the workers of the cluster executed; empty when there is none.
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
