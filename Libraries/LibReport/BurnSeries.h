#pragma once

#include <LibReport/BurnKey.h>
#include <LibReport/BurnWindow.h>

namespace Bergamot {

/// The counts of one service, client and zone.
struct BurnSeries {
    BurnKey key {};
    WindowCounts windows {};

    bool operator==(const BurnSeries&) const = default;
};

}
