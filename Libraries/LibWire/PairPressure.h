#pragma once

#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// Estimated interference of a best-effort image with a serving image: the utilisation that the best-effort tasks add
/// to a serving task for each share of the worker's processors that they use; see PressureModel.
struct PairPressure {
    std::string bestEffortImage {};
    std::string servingImage {};
    double pressure { 0 };

    bool operator==(const PairPressure&) const = default;
    MSGPACK_DEFINE_ARRAY(bestEffortImage, servingImage, pressure)
};

}
