#pragma once

#include <LibHttp/HttpLimits.h>
#include <LibPlatform/QueueRoute.h>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamot {

/// One version of the configuration that operators publish: the queue routes and the limits of client connections.
struct RoutingTable {
    uint64_t version { 0 };
    std::vector<QueueRoute> routes {};
    size_t maxBodyBytes { size_t { 256 } << 10 };

    /// Limits of HTTP connections from clients.
    size_t maxHeaderBytes { HttpLimits {}.maxHeaderBytes };
    Milliseconds headerTimeout { HttpLimits {}.headerTimeout };
    Milliseconds idleTimeout { HttpLimits {}.idleTimeout };

    /// The names of all services; empty if the configuration does not contain them.
    std::set<std::string> services {};

    bool operator==(const RoutingTable&) const = default;

    /// Returns the route of `host` with the longest path prefix that matches `path`, or null if no route matches.
    const QueueRoute* match(std::string_view host, std::string_view path) const;
};

}
