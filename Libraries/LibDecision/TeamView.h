#pragma once

#include <LibCore/Resources.h>
#include <string>

namespace Bergamot {

/// A team that submits jobs. Commitments above `quota` are possible only with `mayBorrow`, and only in room that no
/// team within its quota can use at that time. `weight` is its share relative to other teams and is positive.
struct TeamView {
    std::string name {};
    double weight { 1.0 };
    Resources quota {};
    bool mayBorrow { false };

    bool operator==(const TeamView&) const = default;
};

}
