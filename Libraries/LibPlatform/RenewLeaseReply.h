#pragma once

#include <LibDecision/RunEnd.h>
#include <LibDecision/RunEndCoverage.h>
#include <LibDecision/RunReport.h>
#include <LibPlatform/TaskCommandReply.h>
#include <vector>

namespace Bergamot {

struct RenewLeaseReply {
    TaskCommandReply commandReply {};

    /// All active runs of the worker.
    std::vector<RunReport> running {};

    /// Ended runs that are not acknowledged.
    std::vector<RunEnd> ended {};
    RunEndCoverage endCoverage { RunEndCoverage::Oldest };
};

}
