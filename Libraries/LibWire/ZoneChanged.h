#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// Operators took a zone out of service or brought it back.
struct ZoneChanged {
    ZoneId zone {};
    bool out { false };

    bool operator==(const ZoneChanged&) const = default;
    MSGPACK_DEFINE_ARRAY(zone, out)
};

}
