#pragma once

#include <LibCore/Resources.h>
#include <string>

namespace Bergamot {

/// A team that submits jobs. Commitments above `quota` require `mayBorrow` and are limited to resources that no team
/// within its quota can use at that time. `weight` is the team's share relative to other teams and is positive.
struct TeamView {
    std::string name {};
    double weight { 1.0 };
    Resources quota {};
    bool mayBorrow { false };

    bool operator==(const TeamView&) const = default;
};

}
