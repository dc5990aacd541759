#pragma once

#include <LibCore/Ids.h>
#include <LibPlatform/RoutingTable.h>
#include <variant>

namespace Bergamot {

/// Operators have taken a zone out of service, or back.
struct ZoneOut {
    ZoneId zone {};
    bool out { true };

    bool operator==(const ZoneOut&) const = default;
};

/// A record without a meaning for this version of the system.
struct UnknownChange {
    bool operator==(const UnknownChange&) const = default;
};

using OperatorChange = std::variant<RoutingTable, ZoneOut, UnknownChange>;

}
