#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <string>

namespace Bergamot {

/// One entry of a log stream. `timeMs` is the log service's clock at the append, in milliseconds.
struct LogEntry {
    LogPosition offset { 0 };
    int64_t timeMs { 0 };
    std::string bytes {};

    bool operator==(const LogEntry&) const = default;
};

}
