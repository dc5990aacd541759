#pragma once

#include <LibHttp/HttpLimits.h>
#include <LibPlatform/QueueRoute.h>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Bergamot {

/// One version of the operators' configuration.
struct RoutingTable {
    uint64_t version { 0 };
    std::vector<QueueRoute> routes {};
    size_t maxBodyBytes { size_t { 256 } << 10 };

    /// Limits of callers' connections.
    size_t maxHeaderBytes { HttpLimits {}.maxHeaderBytes };
    Milliseconds headerTimeout { HttpLimits {}.headerTimeout };
    Milliseconds idleTimeout { HttpLimits {}.idleTimeout };

    bool operator==(const RoutingTable&) const = default;

    /// The route with the host and the longest matching prefix; null when there is none.
    const QueueRoute* match(std::string_view host, std::string_view path) const;
};

}
