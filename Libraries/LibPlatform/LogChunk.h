#pragma once

#include <LibPlatform/LogEntry.h>
#include <vector>

namespace Bergamot {

/// Answer to a read. `earliest` is the oldest offset still kept, `head` the next one to be written.
struct LogChunk {
    LogPosition earliest { 0 };
    LogPosition head { 0 };
    std::vector<LogEntry> entries {};

    bool operator==(const LogChunk&) const = default;
};

}
