#pragma once

#include <LibWire/QueuePolicy.h>
#include <string>

namespace Bergamot {

/// The host name and path prefix under which jobs are submitted to a queue, and the policy of that queue.
struct QueueRoute {
    std::string queue {};
    std::string host {};
    std::string pathPrefix {};
    QueuePolicy policy {};

    bool operator==(const QueueRoute&) const = default;
};

}
