#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// An operator took a zone out of service or returned it to service.
struct ZoneChanged {
    ZoneId zone {};
    bool out { false };

    bool operator==(const ZoneChanged&) const = default;
    MSGPACK_DEFINE_ARRAY(zone, out)
};

}
