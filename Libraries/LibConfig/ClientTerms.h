#pragma once

#include <cstdint>

namespace Bergamot {

/// The request rate and the number of concurrent requests that a client is guaranteed.
struct ClientTerms {
    int64_t requestsPerSecond { 0 };
    int64_t concurrency { 0 };

    bool operator==(const ClientTerms&) const = default;

    /// True when neither the rate nor the concurrency is below that of `other`.
    bool isAtLeast(const ClientTerms& other) const
    {
        return requestsPerSecond >= other.requestsPerSecond && concurrency >= other.concurrency;
    }
};

}
