#pragma once

#include <LibPlatform/KeyedRecord.h>
#include <vector>

namespace Bergamot {

struct ReadNewestReply {
    /// The newest record of each key, in pages.
    std::vector<KeyedRecord> records {};
    bool more { false };
    LogPosition end { 0 };
};

}
