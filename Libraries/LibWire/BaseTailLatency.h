#pragma once

#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// The tail latency of a serving image without load.
struct BaseTailLatency {
    std::string servingImage {};
    double tailLatencyMs { 0 };

    bool operator==(const BaseTailLatency&) const = default;
    MSGPACK_DEFINE_ARRAY(servingImage, tailLatencyMs)
};

}
