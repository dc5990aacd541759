#pragma once

#include <LibCore/Ids.h>
#include <cstdint>

namespace Bergamot {

/// The number of workers of a zone in the platform's host list.
struct ZoneCapacity {
    ZoneId zone {};
    int64_t workers { 0 };

    bool operator==(const ZoneCapacity&) const = default;
};

}
