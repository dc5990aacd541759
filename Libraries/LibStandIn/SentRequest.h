#pragma once

#include <cstdint>
#include <string>

namespace Bergamot {

/// One try of a quick request as its caller observed it. Times are CLOCK_BOOTTIME milliseconds.
struct SentRequest {
    std::string key {};
    std::string entry {};
    std::string service {};
    bool nonIdempotent { false };
    int64_t sentMs { 0 };
    int64_t answeredMs { 0 };

    /// HTTP status, or 0 when there was no reply.
    int status { 0 };

    /// Whether the request was executed, as the reply states it: `yes`, `no` or `unknown`.
    std::string ran { "unknown" };
    std::string digest {};
    std::string answerDigest {};

    /// True when the reply body is longer than a digest, ends with a newline and starts with the digest of the
    /// X-Request-Digest header, if the reply has that header.
    bool isComplete { false };

    /// Reason for a missing reply: `not_connected`, `timeout` or `cut_off`. Empty when there was a reply.
    std::string error {};

    bool operator==(const SentRequest&) const = default;
};

}
