#pragma once

#include <LibEntry/ServicePath.h>
#include <LibState/ClusterState.h>
#include <map>
#include <string>
#include <vector>

namespace Bergamot {

/// Returns the workers that hold placed replicas of each service, in id order and without duplicates. Services without
/// placed replicas are omitted.
std::map<std::string, std::vector<ServicePath::Upstream>> upstreamsByService(const ClusterState&);

}
