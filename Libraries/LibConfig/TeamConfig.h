#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Resources.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// A team that shares the batch capacity.
struct TeamConfig {
    std::string name {};
    /// Share of the batch capacity relative to the weights of the other teams.
    int64_t weight { 1 };
    /// Resources that the team's running jobs may hold together.
    Resources quota {};
    /// The team may exceed its quota while other teams leave capacity unused.
    bool mayBorrow { true };
    /// Names of the clients that may submit jobs for the team, sorted; empty means every client.
    std::vector<ClientId> clients {};

    bool operator==(const TeamConfig&) const = default;
};

}
