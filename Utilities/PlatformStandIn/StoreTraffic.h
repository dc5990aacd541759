#pragma once

#include <cstdint>

namespace Bergamot {

/// Requests that the store stand-in has received, and the bytes of the reply bodies that it has sent.
struct StoreTraffic {
    uint64_t calls { 0 };
    uint64_t replyBytes { 0 };

    bool operator==(const StoreTraffic&) const = default;

    StoreTraffic operator-(const StoreTraffic& earlier) const
    {
        return { calls - earlier.calls, replyBytes - earlier.replyBytes };
    }
};

}
