#pragma once

#include <cstdint>
#include <string>

namespace Bergamot {

/// One submitted job as its caller observed it. Times are CLOCK_BOOTTIME milliseconds.
struct SentJob {
    std::string key {};
    std::string job {};
    std::string kind {};
    std::string entry {};
    bool urgent { false };
    bool cancelled { false };
    int64_t sentMs { 0 };
    int64_t answeredMs { 0 };
    int status { 0 };

    /// `no` only when the reply to every try of the submission stated `ran: no`.
    std::string ran { "unknown" };

    /// Last job state that a daemon reported, or empty.
    std::string finalState {};

    /// Time at which finalState was reported.
    int64_t stateMs { 0 };

    bool operator==(const SentJob&) const = default;
};

}
