#pragma once

#include <LibWire/QueuePolicy.h>
#include <string>

namespace Bergamot {

/// Where callers hand in the jobs of a queue.
struct QueueRoute {
    std::string queue {};
    std::string host {};
    std::string pathPrefix {};
    QueuePolicy policy {};

    bool operator==(const QueueRoute&) const = default;
};

}
