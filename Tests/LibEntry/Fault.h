#pragma once

#include "VirtualCluster.h"
#include <functional>
#include <string>
#include <vector>

namespace Bergamot {

/// A fault to inject at a step. `inject` runs inside a call of the acting node, so it only sets fields of the cluster
/// and schedules other effects, including the end of the fault.
struct Fault {
    std::string name;
    std::function<void(VirtualCluster&, const MemberId& acting)> inject;
};

const std::vector<Fault>& allFaults();

}
