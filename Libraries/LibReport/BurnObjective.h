#pragma once

#include <LibCore/Time.h>
#include <string>

namespace Bergamot {

/// A request of the service is good when it succeeds within `latencyTarget`; `objectivePercent` of the requests of 28
/// days should be good.
struct BurnObjective {
    std::string service {};
    Milliseconds latencyTarget { 0 };
    double objectivePercent { 99 };

    bool operator==(const BurnObjective&) const = default;

    /// An objective of 100 % has no error budget, so no burn rate.
    bool isValid() const
    {
        return !service.empty() && latencyTarget > Milliseconds { 0 } && objectivePercent > 0 && objectivePercent < 100;
    }
};

}
