#pragma once

#include <cstdint>
#include <string>

namespace Bergamot {

/// One submitted job as its caller saw it, in CLOCK_BOOTTIME milliseconds.
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

    /// `no` only when every try of the submission was answered so.
    std::string ran { "unknown" };

    /// State that the daemon reported last, or empty.
    std::string finalState {};

    /// Time of that report.
    int64_t stateMs { 0 };

    bool operator==(const SentJob&) const = default;
};

}
