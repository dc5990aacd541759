#include <LibPlatform/RoutingTable.h>

namespace Bergamot {

const QueueRoute* RoutingTable::match(std::string_view host, std::string_view path) const
{
    const QueueRoute* best = nullptr;
    for (const auto& route : routes) {
        if (route.host != host || !path.starts_with(route.pathPrefix))
            continue;
        if (!best || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

}
