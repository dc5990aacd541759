#pragma once

#include <LibPlatform/KeyedRecord.h>
#include <vector>

namespace Bergamot {

struct ReadReply {
    /// Offset of the next append.
    LogPosition end { 0 };
    std::vector<KeyedRecord> records {};

    /// The requested records have been deleted; `firstRetained` is the offset of the oldest remaining record.
    bool isExpired { false };
    LogPosition firstRetained { 0 };
};

}
