#pragma once

#include <LibDecision/RunEnd.h>
#include <LibDecision/RunReport.h>
#include <LibPlatform/TaskCommandReply.h>
#include <vector>

namespace Bergamot {

struct RenewLeaseReply {
    TaskCommandReply commandReply {};
    std::vector<RunReport> running {};
    std::vector<RunEnd> ended {};
};

}
