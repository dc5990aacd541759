#pragma once

#include <LibPlatform/KeyedRecord.h>
#include <vector>

namespace Bergamot {

struct ReadNewestReply {
    /// One page of records: the newest record of each key.
    std::vector<KeyedRecord> records {};

    /// Further pages follow.
    bool hasMore { false };

    /// Offset of the next append.
    LogPosition end { 0 };
};

}
