#pragma once

#include <LibCore/Ids.h>

namespace Bergamot {

/// Operators have taken a zone out of service, or back.
struct ZoneOut {
    ZoneId zone {};
    bool out { true };

    bool operator==(const ZoneOut&) const = default;
};

}
