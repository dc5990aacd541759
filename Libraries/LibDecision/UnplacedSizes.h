#pragma once

#include <LibCore/Resources.h>
#include <LibDecision/PlacementClass.h>
#include <map>
#include <vector>

namespace Bergamot {

/// Sizes that found no worker in one pass over the waiting steps. A task of the same class that needs at least as much
/// of everything finds none either and need not be tried.
class UnplacedSizes {
public:
    bool covers(const PlacementClass&, const Resources& size) const;
    void add(const PlacementClass&, const Resources& size);

private:
    std::map<PlacementClass, std::vector<Resources>> m_sizes;
};

}
