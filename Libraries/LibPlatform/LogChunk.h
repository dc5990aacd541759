#pragma once

#include <LibPlatform/LogEntry.h>
#include <vector>

namespace Bergamot {

/// Reply to a read of a log stream. `earliest` is the oldest retained offset, `head` the offset of the next append.
struct LogChunk {
    LogPosition earliest { 0 };
    LogPosition head { 0 };
    std::vector<LogEntry> entries {};

    bool operator==(const LogChunk&) const = default;
};

}
