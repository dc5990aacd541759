#pragma once

#include <LibCore/Time.h>
#include <LibDecision/SchedulerTypes.h>
#include <cstddef>
#include <vector>

namespace Bergamot {

/// Expected increase of a service's latency (0.1 means 10% above its latency when running alone) and its standard
/// deviation.
struct SlowdownEstimate {
    double mean { 0 };
    double deviation { 0 };
};

/// Predicts how much kinds of work slow each other down on a host.
class SlowdownEstimator {
public:
    virtual ~SlowdownEstimator() = default;

    /// Marks a kind as a service.
    virtual void declareService(KindIndex) { }

    /// Records that the latency of a service of kind `victim` at `load` (0 to 1) beside `neighbours` was `ratio`
    /// times its latency when running alone.
    virtual void observe(
        KindIndex victim, const std::vector<Neighbour>& neighbours, double load, double ratio, Instant now)
        = 0;

    /// Estimates the slowdown of `victim` by one neighbour that uses the share `neighbour.share` of the host. For the
    /// victim's own kind, this is the slowdown without any neighbours.
    virtual SlowdownEstimate estimatePair(KindIndex victim, Neighbour neighbour, double load) const = 0;

    virtual size_t stateBytes() const = 0;
};

}
