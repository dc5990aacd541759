#pragma once

#include <LibCore/Resources.h>
#include <LibDecision/PlacementClass.h>
#include <map>
#include <vector>

namespace Bergamot {

/// Task sizes that found no worker in the current pass over the waiting steps. A task of the same class that needs at
/// least as much of each resource need not be tried.
class UnplacedSizes {
public:
    bool covers(const PlacementClass&, const Resources& size) const;
    void add(const PlacementClass&, const Resources& size);

private:
    std::map<PlacementClass, std::vector<Resources>> m_sizes;
};

}
