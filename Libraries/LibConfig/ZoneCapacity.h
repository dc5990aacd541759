#pragma once

#include <LibCore/Ids.h>
#include <cstdint>

namespace Bergamot {

/// The number of workers that the platform's host list shows in a zone.
struct ZoneCapacity {
    ZoneId zone {};
    int64_t workers { 0 };

    bool operator==(const ZoneCapacity&) const = default;
};

}
