#pragma once

#include <LibPlatform/KeyedRecord.h>
#include <LibPlatform/StreamName.h>
#include <LibPlatform/WriterFence.h>
#include <cstdint>
#include <optional>
#include <vector>

namespace Bergamot {

struct AppendRequest {
    StreamName stream { StreamName::Jobs };
    uint32_t partition { 0 };

    /// Appended atomically. An empty list with a fence only sets the writer's epoch.
    std::vector<KeyedRecord> records {};

    /// If set, the append succeeds only when the partition ends at this offset.
    std::optional<LogPosition> expectedEndOffset {};
    std::optional<WriterFence> fence {};
};

}
