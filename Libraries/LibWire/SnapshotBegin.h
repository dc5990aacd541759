#pragma once

#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// Starts a snapshot of the state at `position`.
struct SnapshotBegin {
    uint64_t position { 0 };
    uint32_t chunks { 0 };
    uint64_t digest { 0 };

    bool operator==(const SnapshotBegin&) const = default;
    MSGPACK_DEFINE_ARRAY(position, chunks, digest)
};

}
