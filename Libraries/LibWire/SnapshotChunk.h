#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// A part of the snapshot of the state at `position`.
struct SnapshotChunk {
    uint64_t position { 0 };
    uint32_t index { 0 };
    std::string bytes {};

    bool operator==(const SnapshotChunk&) const = default;
    MSGPACK_DEFINE_ARRAY(position, index, bytes)
};

}
