#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace Bergamot {

/// Sent to every peer each second. `logAgeMs` is the time since the sender's last successful log read, `sentAtMs` the
/// sender's clock at sending, and `echoMs` the newest `sentAtMs` that the sender has received from the receiver.
struct Heartbeat {
    MemberId member {};
    uint64_t incarnation { 0 };
    LogPosition position { 0 };
    int64_t logAgeMs { 0 };
    uint32_t freeSlots { 0 };
    uint32_t queuedRequests { 0 };
    std::vector<WorkerId> unreachableWorkers {};
    uint64_t configVersion { 0 };
    int64_t sentAtMs { 0 };
    int64_t echoMs { 0 };
    bool leaving { false };

    bool operator==(const Heartbeat&) const = default;
    MSGPACK_DEFINE_ARRAY(member, incarnation, position, logAgeMs, freeSlots, queuedRequests, unreachableWorkers,
        configVersion, sentAtMs, echoMs, leaving)
};

}
