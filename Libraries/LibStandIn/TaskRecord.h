#pragma once

#include <LibPlatform/TaskId.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Bergamot {

/// One run of a task attempt on a worker. Times are CLOCK_BOOTTIME milliseconds.
struct TaskRecord {
    TaskId task {};
    WorkerId worker {};
    ZoneId zone {};
    std::string kind {};
    bool isService { false };
    int64_t startMs { 0 };
    std::optional<int64_t> endMs {};
    std::string resumedFrom {};
    std::string checkpoint {};
    std::string outcome {};
    bool acknowledged { false };

    bool operator==(const TaskRecord&) const = default;
};

}
