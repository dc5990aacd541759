#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Bergamot {

/// One execution of a quick request on a worker. Times are CLOCK_BOOTTIME milliseconds.
struct ExecutionRecord {
    std::string requestId {};
    std::string key {};
    bool nonIdempotent { false };
    std::string digest {};
    WorkerId worker {};
    ZoneId zone {};
    int64_t startMs { 0 };
    std::optional<int64_t> endMs {};

    bool operator==(const ExecutionRecord&) const = default;
};

}
