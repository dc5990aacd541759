#pragma once

#include <LibCore/Ids.h>

namespace Bergamot {

/// An operator change that takes a zone out of service or returns it to service.
struct ZoneOut {
    ZoneId zone {};
    bool out { true };

    bool operator==(const ZoneOut&) const = default;
};

}
