#pragma once

#include <LibCore/Ids.h>
#include <LibWire/RevokeReason.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// The leader stops an attempt, for example because of an eviction, a cancellation or a lost worker.
struct TaskRevoked {
    uint64_t epoch { 0 };
    JobId job {};
    uint32_t attempt { 0 };
    RevokeReason reason { RevokeReason::Eviction };

    bool operator==(const TaskRevoked&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch, job, attempt, reason)
};

}
