#include <LibDecision/UnplacedSizes.h>
#include <algorithm>

namespace Bergamot {

bool UnplacedSizes::covers(const PlacementClass& placementClass, const Resources& size) const
{
    auto it = m_sizes.find(placementClass);
    return it != m_sizes.end()
        && std::ranges::any_of(it->second, [&](const Resources& unplaced) { return unplaced.fitsIn(size); });
}

void UnplacedSizes::add(const PlacementClass& placementClass, const Resources& size)
{
    m_sizes[placementClass].push_back(size);
}

}
