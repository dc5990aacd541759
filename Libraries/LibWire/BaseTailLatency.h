#pragma once

#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// Estimated tail latency of the tasks of a serving image at zero utilisation; see PressureModel.
struct BaseTailLatency {
    std::string servingImage {};
    double tailLatencyMs { 0 };

    bool operator==(const BaseTailLatency&) const = default;
    MSGPACK_DEFINE_ARRAY(servingImage, tailLatencyMs)
};

}
