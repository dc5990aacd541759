#pragma once

#include <LibCore/Ids.h>
#include <string>
#include <vector>

namespace Bergamot {

/// A region and its availability zones. A zone belongs to exactly one region.
struct RegionConfig {
    std::string name {};
    /// Names of the zones, sorted.
    std::vector<ZoneId> zones {};

    bool operator==(const RegionConfig&) const = default;
};

}
