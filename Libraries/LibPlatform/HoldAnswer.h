#pragma once

#include <LibDecision/RunEnd.h>
#include <LibDecision/RunReport.h>
#include <LibPlatform/OrderAnswer.h>
#include <vector>

namespace Bergamot {

struct HoldAnswer {
    OrderAnswer order {};
    std::vector<RunReport> running {};
    std::vector<RunEnd> ended {};
};

}
