#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Bergamot {

/// A caller's request to a latency-critical service, with validated headers.
struct QuickRequest {
    std::string service {};
    ClientId client {};
    std::string idempotencyKey {};
    bool nonIdempotent { false };
    std::string body {};
    uint64_t bodyDigest { 0 };
    Instant arrivedAt {};
    Instant deadline {};
};

}
