#pragma once

#include <LibWire/BaseTail.h>
#include <LibWire/PairPressure.h>
#include <msgpack.hpp>
#include <vector>

namespace Bergamot {

/// What a leader has learned of interference, for its successor.
struct PressureRecord {
    std::vector<BaseTail> bases {};
    std::vector<PairPressure> pairs {};

    bool operator==(const PressureRecord&) const = default;
    MSGPACK_DEFINE_ARRAY(bases, pairs)
};

}
