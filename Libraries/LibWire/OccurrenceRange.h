#pragma once

#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// Consecutive occurrences of a repeating job.
struct OccurrenceRange {
    uint32_t first { 0 };
    uint32_t count { 0 };

    bool operator==(const OccurrenceRange&) const = default;
    MSGPACK_DEFINE_ARRAY(first, count)
};

}
