#pragma once

#include <LibCore/Resources.h>
#include <cstdint>
#include <string>

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

    bool operator==(const TeamConfig&) const = default;
};

}
