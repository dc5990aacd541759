#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Resources.h>
#include <cstdint>

namespace Bergamot {

/// Measured resource usage of one attempt. `progressPerMille` is the completed share of the work, in thousandths (0 to
/// 1000).
struct UsageSample {
    JobId job {};
    uint32_t attempt { 0 };
    Resources used {};
    int64_t progressPerMille { 0 };

    bool operator==(const UsageSample&) const = default;
};

}
