#include <LibStandIn/WorkerLayout.h>
#include <fmt/format.h>

namespace Bergamot {

std::string WorkerLayout::listenAddress(int zone, int number) { return fmt::format("127.{}.0.{}", zone, number); }

HostEntry WorkerLayout::host(int zone, int number) const
{
    return {
        .id = fmt::format("z{}-w{}", zone, number),
        .address = fmt::format("http://{}:{}", listenAddress(zone, number), port),
        .zone = fmt::format("z{}", zone),
        .rack = fmt::format("z{}-r{}", zone, (number - 1) / workersPerRack + 1),
        .capacity = capacity,
    };
}

}
