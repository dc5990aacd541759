#pragma once

#include <LibCore/Time.h>
#include <LibDecision/SchedulerTypes.h>
#include <cstddef>
#include <vector>

namespace Bergamot {

/// Expected rise of a service's latency (0.1 is 10% above running alone) and its standard deviation.
struct SlowdownEstimate {
    double mean { 0 };
    double deviation { 0 };
};

/// Predicts how much kinds slow each other down on a host.
class SlowdownEstimator {
public:
    virtual ~SlowdownEstimator() = default;

    /// Tells that a kind is a service.
    virtual void declareService(KindIndex) { }

    /// A service of kind `victim` at `load` (0 to 1) had `ratio` times its latency alone beside `neighbours`.
    virtual void observe(
        KindIndex victim, const std::vector<Neighbour>& neighbours, double load, double ratio, Instant now)
        = 0;

    /// Slowdown of `victim` by one neighbour that uses the share `neighbour.share` of the host. For the victim's own
    /// kind it is the slowdown that is there without neighbours.
    virtual SlowdownEstimate estimatePair(KindIndex victim, Neighbour neighbour, double load) const = 0;

    virtual size_t stateBytes() const = 0;
};

}
