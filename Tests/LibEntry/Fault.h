#pragma once

#include "VirtualCluster.h"
#include <functional>
#include <string>
#include <vector>

namespace Bergamot {

/// A fault of the matrix. `strike` runs inside the acting node, so it only sets data and schedules the rest; it also
/// schedules the end of the fault.
struct Fault {
    std::string name;
    std::function<void(VirtualCluster&, const MemberId& acting)> strike;
};

/// All faults; a new one is one entry here.
const std::vector<Fault>& allFaults();

}
