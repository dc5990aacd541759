#pragma once

#include <LibPlatform/KeyedRecord.h>
#include <vector>

namespace Bergamot {

struct ReadReply {
    /// The next offset to be written.
    LogPosition end { 0 };
    std::vector<KeyedRecord> records {};

    /// The wanted records have been deleted; `firstRetained` is the oldest one.
    bool expired { false };
    LogPosition firstRetained { 0 };
};

}
