#pragma once

#include <LibCore/Time.h>
#include <string>

namespace Bergamot {

/// Service-level objective. A request is good when it succeeds within `latencyTarget`; `objectivePercent` of the
/// requests in the 28-day window should be good.
struct BurnObjective {
    std::string service {};
    Milliseconds latencyTarget { 0 };
    double objectivePercent { 99 };

    bool operator==(const BurnObjective&) const = default;

    /// An objective of 100 % is invalid, because its error budget is zero and its burn rate undefined.
    bool isValid() const
    {
        return !service.empty() && latencyTarget > Milliseconds { 0 } && objectivePercent > 0 && objectivePercent < 100;
    }
};

}
