#pragma once

#include <LibPlatform/RoutingTable.h>
#include <LibPlatform/UnknownChange.h>
#include <LibPlatform/ZoneOut.h>
#include <variant>

namespace Bergamot {

using OperatorChange = std::variant<RoutingTable, ZoneOut, UnknownChange>;

}
