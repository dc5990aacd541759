#pragma once

#include <LibCore/Time.h>
#include <LibWire/PressureRecord.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Bergamot {

/// Learns how much the tasks that fill disturb the tasks that serve beside them, by pair of images, from the tail
/// latencies and processor use that workers report with a lag. Answers interference that differs by pair and changes
/// with load.
///
/// The model is that of a queue: tail = base / (1 - utilisation), and the utilisation of a serving task is its own load
/// plus the pressure of each pair times the share of the worker's processors that the filling task uses. For each
/// serving image, a ridge regression with non-negative coefficients and exponential forgetting finds the pressures; the
/// load of single tasks averages out.
class PressureModel {
public:
    /// Number of a filling image. 0 stands for all images beyond those that are told apart.
    uint32_t bestEffortImage(const std::string& name);

    /// Number of a serving image.
    uint32_t servingImage(const std::string& name);

    /// Processors that tasks of a filling image use, as a share of those of the worker, by number. The reported tail
    /// follows the use with a delay, so the shares are smoothed in the same way.
    using Shares = std::vector<double>;

    /// Takes one report of a serving task, and updates the estimate of its own load.
    void observe(uint32_t servingImage, double tailLatencyMs, const Shares&, double& load, Instant now);

    /// Utilisation per share of the worker's processors; 0 for a pair that has not been seen.
    double pressure(uint32_t bestEffortImage, uint32_t servingImage) const;

    /// What has been learned, and what an earlier leader had learned. The latter holds until observations say
    /// otherwise.
    PressureRecord save() const;
    void restore(const PressureRecord&);

    /// The utilisation at which the tail reaches `tailLatencyMs`.
    double utilisationAt(uint32_t servingImage, double tailLatencyMs) const;

private:
    /// Weighted sums of the regression of one serving image. Variable 0 is the mean load.
    struct Regression {
        /// 0 before the first report.
        double baseTailLatencyMs { 0 };
        std::vector<double> products {};
        std::vector<double> targets {};
        std::vector<double> pressures {};

        /// Where the ridge pulls the coefficients to.
        std::vector<double> priors {};
        Instant decayedAt { neverInstant };
        Instant solvedAt { neverInstant };
    };

    void addNewImages(Regression&) const;
    void decay(Regression&, Instant now) const;
    void solve(Regression&) const;

    std::map<std::string, uint32_t> m_bestEffortImages;
    std::map<std::string, uint32_t> m_servingImages;

    /// By number of the serving image.
    std::vector<Regression> m_regressions;
};

}
