#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Resources.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// A team with a share of the batch capacity.
struct TeamConfig {
    std::string name {};
    /// Fair-share weight of the team, relative to the weights of the other teams.
    int64_t weight { 1 };
    /// Limit of the resources that the team's running jobs hold in total.
    Resources quota {};
    /// The team may exceed its quota while other teams do not use their capacity.
    bool mayBorrow { true };
    /// Names of the clients that may submit jobs for the team, sorted; empty means every client.
    std::vector<ClientId> clients {};

    bool operator==(const TeamConfig&) const = default;
};

}
