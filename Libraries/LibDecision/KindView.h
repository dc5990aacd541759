#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// A kind of work that operators declare. `yieldsTo` names the kinds in favour of which tasks of this kind may be
/// throttled or evicted. `priority` is added to the priority of each job. `latencyTargetMs` is 0 if there is no
/// target.
struct KindView {
    std::string name {};
    bool isService { false };
    std::vector<std::string> yieldsTo {};
    int32_t priority { 0 };
    uint32_t maxAttempts { 3 };
    int64_t latencyTargetMs { 0 };

    bool operator==(const KindView&) const = default;
};

}
