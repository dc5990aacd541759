#pragma once

#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// What is known of one pair of images; see PressureModel.
struct PairPressure {
    std::string bestEffortImage {};
    std::string servingImage {};
    double pressure { 0 };

    bool operator==(const PairPressure&) const = default;
    MSGPACK_DEFINE_ARRAY(bestEffortImage, servingImage, pressure)
};

}
