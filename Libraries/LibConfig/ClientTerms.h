#pragma once

#include <cstdint>

namespace Bergamot {

/// What a client is guaranteed: a request rate and a number of requests in progress.
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
