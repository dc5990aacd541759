#include <LibStandIn/WorkerLayout.h>
#include <fmt/format.h>

namespace Bergamot {

std::string WorkerLayout::listenAddress(int zone, int number) { return fmt::format("127.{}.0.{}", zone, number); }

std::string WorkerLayout::zoneName(int zone) { return { static_cast<char>('a' + zone - 1) }; }

HostEntry WorkerLayout::host(int zone, int number) const
{
    auto name = zoneName(zone);
    return {
        .id = fmt::format("{}-w{}", name, number),
        .address = fmt::format("http://{}:{}", listenAddress(zone, number), port),
        .zone = name,
        .rack = fmt::format("{}-r{}", name, (number - 1) / workersPerRack + 1),
        .capacity = capacity,
    };
}

}
