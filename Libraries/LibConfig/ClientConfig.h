#pragma once

#include <LibConfig/ClientTerms.h>
#include <LibConfig/InsufficientCapacityRule.h>
#include <LibConfig/PriorityClass.h>
#include <LibCore/Ids.h>
#include <string>
#include <vector>

namespace Bergamot {

/// A client account with its guaranteed terms.
struct ClientConfig {
    ClientId name {};
    /// The terms in force before the first renewal.
    ClientTerms terms {};
    /// Names of the services that the client may call, sorted.
    std::vector<std::string> services {};
    PriorityClass priorityClass { PriorityClass::Normal };
    /// The terms after each renewal. No entry has a lower rate or concurrency than the previous one.
    std::vector<ClientTerms> renewals {};
    InsufficientCapacityRule onInsufficientCapacity { InsufficientCapacityRule::Refuse };

    bool operator==(const ClientConfig&) const = default;
};

}
