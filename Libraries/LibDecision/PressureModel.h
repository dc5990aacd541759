#pragma once

#include <LibCore/Time.h>
#include <LibDecision/ImageNumber.h>
#include <LibWire/PressureRecord.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Bergamot {

/// Learns how much best-effort tasks slow down the serving (long-running) tasks on the same worker, because this
/// interference differs by pair of images and changes with load. Learns from the tail latencies and processor use that
/// workers report with a lag.
///
/// Uses a queueing model: tail latency = base tail latency / (1 - utilisation). The utilisation of a serving task is
/// its own load plus, for each best-effort image, the pressure of the pair times the share of the worker's processors
/// that the image uses. For each serving image, a ridge regression with non-negative coefficients and exponential
/// forgetting estimates the pressures; the loads of individual tasks average out.
class PressureModel {
public:
    /// Returns the number of a best-effort image and assigns one to a new image. Returns `Untracked` for new images
    /// once the maximum number of distinct images is reached.
    BestEffortImage bestEffortImage(const std::string& name);

    /// Returns the number of a serving image and assigns one to a new image, or returns `Untracked` as above.
    ServingImage servingImage(const std::string& name);

    /// Processors that the tasks of each best-effort image use, as a share of the worker's processors, indexed by image
    /// number. The reported tail latency lags behind the processor use, so callers smooth the shares with the same lag.
    using Shares = std::vector<double>;

    /// Records one report of a serving task and updates `load`, the estimate of the utilisation that the task causes
    /// itself.
    void observe(ServingImage, double tailLatencyMs, const Shares&, double& load, Instant now);

    /// Added utilisation of the serving task per share of the worker's processors; 0 for a pair without observations
    /// and for numbers that the model has not assigned.
    double pressure(BestEffortImage, ServingImage) const;

    /// Saves the learned pressures in a record of limited size, without the images observed longest ago and the lowest
    /// pressures if necessary, and restores those of an earlier leader as priors, which apply until new
    /// observations outweigh them.
    PressureRecord save() const;
    void restore(const PressureRecord&);

    /// Returns the utilisation at which the tail latency reaches `tailLatencyMs`; 0 for an image without observations.
    double utilisationAt(ServingImage, double tailLatencyMs) const;

private:
    /// Weighted sums of the regression for one serving image. Variable 0 is the mean load; variable i is the share of
    /// best-effort image i.
    struct Regression {
        /// Lowest reported tail latency; 0 before the first report.
        double baseTailLatencyMs { 0 };
        std::vector<double> products {};
        std::vector<double> targets {};
        std::vector<double> pressures {};

        /// Values that the ridge penalty pulls the coefficients towards.
        std::vector<double> priors {};
        Instant decayedAt { neverInstant };
        Instant solvedAt { neverInstant };
    };

    const Regression* find(ServingImage) const;
    void addNewImages(Regression&) const;
    void decay(Regression&, Instant now) const;
    void solve(Regression&) const;

    std::map<std::string, BestEffortImage> m_bestEffortImages;
    std::map<std::string, ServingImage> m_servingImages;

    /// Indexed by the number of the serving image.
    std::vector<Regression> m_regressions;
};

}
