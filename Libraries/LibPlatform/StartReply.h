#pragma once

#include <cstdint>
#include <string>

namespace Bergamot {

enum class StartResult : uint8_t { Started, AlreadyRunning, AlreadyEnded, Refused };

/// A worker's reply to a start request. `Refused` means that the attempt has not started and never will.
struct StartReply {
    StartResult result { StartResult::Refused };
    int64_t workerClockMs { 0 };
    std::string reason {};

    bool operator==(const StartReply&) const = default;
};

}
