#pragma once

#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// The tail latency of a serving image without load.
struct BaseTail {
    std::string servingImage {};
    double tailMs { 0 };

    bool operator==(const BaseTail&) const = default;
    MSGPACK_DEFINE_ARRAY(servingImage, tailMs)
};

}
