#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Resources.h>
#include <cstdint>

namespace Bergamot {

/// The capacity of one worker and its peak usage so far.
struct WorkerRecord {
    WorkerId worker {};
    ZoneId zone {};
    Resources capacity {};
    Resources highest {};
    int64_t overCommitAttempts { 0 };
    int64_t slots { 0 };
    int64_t highestSlots { 0 };
    int64_t connections { 0 };
    int64_t highestConnections { 0 };

    bool operator==(const WorkerRecord&) const = default;
};

}
