#pragma once

#include <LibReport/BurnKey.h>
#include <LibReport/BurnWindow.h>

namespace Bergamot {

/// Request counts of one combination of service, client and zone.
struct BurnSeries {
    BurnKey key {};
    WindowCounts windows {};

    bool operator==(const BurnSeries&) const = default;
};

}
