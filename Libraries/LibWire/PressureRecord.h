#pragma once

#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Bergamot {

/// What is known of one pair of images; see PressureModel.
struct PairPressure {
    std::string fillImage {};
    std::string servingImage {};
    double pressure { 0 };

    bool operator==(const PairPressure&) const = default;
    MSGPACK_DEFINE_ARRAY(fillImage, servingImage, pressure)
};

/// The tail latency of a serving image without load.
struct BaseTail {
    std::string servingImage {};
    double tailMs { 0 };

    bool operator==(const BaseTail&) const = default;
    MSGPACK_DEFINE_ARRAY(servingImage, tailMs)
};

/// What a leader has learned of interference, for its successor.
struct PressureRecord {
    std::vector<BaseTail> bases {};
    std::vector<PairPressure> pairs {};

    bool operator==(const PressureRecord&) const = default;
    MSGPACK_DEFINE_ARRAY(bases, pairs)
};

}
