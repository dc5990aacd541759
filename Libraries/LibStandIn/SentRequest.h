#pragma once

#include <cstdint>
#include <string>

namespace Bergamot {

/// One try of a quick request as its caller saw it, in CLOCK_BOOTTIME milliseconds.
struct SentRequest {
    std::string key {};
    std::string entry {};
    std::string service {};
    bool nonIdempotent { false };
    int64_t sentMs { 0 };
    int64_t answeredMs { 0 };

    /// HTTP status, or 0 when there was no answer.
    int status { 0 };

    /// What the answer says about the execution: `yes`, `no` or `unknown`.
    std::string ran { "unknown" };
    std::string digest {};
    std::string answerDigest {};

    /// True when the body starts with the digest of the request and ends with a newline.
    bool isWhole { false };

    /// Why there was no answer: `not_connected`, `timeout`, `cut_off`, or empty.
    std::string error {};

    bool operator==(const SentRequest&) const = default;
};

}
