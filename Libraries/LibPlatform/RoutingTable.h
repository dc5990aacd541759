#pragma once

#include <LibDecision/QueuePolicy.h>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamot {

/// Where callers hand in the jobs of a queue.
struct QueueRoute {
    std::string queue {};
    std::string host {};
    std::string pathPrefix {};
    QueuePolicy policy {};

    bool operator==(const QueueRoute&) const = default;
};

/// One version of the operators' configuration.
struct RoutingTable {
    uint64_t version { 0 };
    std::vector<QueueRoute> routes {};
    size_t maxBodyBytes { size_t { 256 } << 10 };

    bool operator==(const RoutingTable&) const = default;

    /// The route with the host and the longest matching prefix; null when there is none.
    const QueueRoute* match(std::string_view host, std::string_view path) const;
};

}
