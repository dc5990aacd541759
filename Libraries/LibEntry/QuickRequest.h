#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Bergamot {

/// A caller's quick request after its headers were checked.
struct QuickRequest {
    std::string service {};
    ClientId client {};
    std::string idempotencyKey {};
    bool nonIdempotent { false };
    std::string body {};
    uint64_t digest { 0 };
    Instant arrived {};
    Instant deadline {};
};

}
