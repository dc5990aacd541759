#pragma once

#include <LibEntry/ServicePath.h>
#include <LibState/ClusterState.h>
#include <map>
#include <string>
#include <vector>

namespace Bergamot {

/// For each service that has placed replicas, the workers that hold one, in id order, each once.
std::map<std::string, std::vector<ServicePath::Upstream>> upstreamsByService(const ClusterState&);

}
