#pragma once

#include <LibConfig/ClientTerms.h>
#include <LibConfig/InsufficientCapacityRule.h>
#include <LibConfig/PriorityClass.h>
#include <LibCore/Ids.h>
#include <string>
#include <vector>

namespace Bergamot {

/// A client and the terms it was promised.
struct ClientConfig {
    ClientId name {};
    /// The terms before the first renewal.
    ClientTerms terms {};
    /// Names of the services that the client may call, sorted.
    std::vector<std::string> services {};
    PriorityClass priorityClass { PriorityClass::Normal };
    /// The terms after each renewal; no entry is below the one before it.
    std::vector<ClientTerms> renewals {};
    InsufficientCapacityRule onInsufficientCapacity { InsufficientCapacityRule::Refuse };

    bool operator==(const ClientConfig&) const = default;
};

}
