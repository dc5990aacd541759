#pragma once

#include <LibCore/Time.h>
#include <LibWire/PressureRecord.h>
#include <cstddef>
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
    /// Processors that tasks of an image use, as a share of those of the worker, by image. The reported tail follows
    /// the use with a delay, so the shares are smoothed in the same way.
    using Shares = std::map<std::string, double>;

    /// Takes one report of a serving task, and updates the estimate of its own load.
    void observe(const std::string& servingImage, double tailMs, const Shares&, double& load, Instant now);

    /// Utilisation per share of the worker's processors; 0 for a pair that has not been seen.
    double pressure(const std::string& fillImage, const std::string& servingImage) const;

    /// What has been learned, and what an earlier leader had learned. The latter holds until observations say
    /// otherwise.
    PressureRecord save() const;
    void restore(const PressureRecord&);

    /// The utilisation at which the tail reaches `tailMs`.
    double utilisationAt(const std::string& servingImage, double tailMs) const;

private:
    /// Weighted sums of the regression of one serving image. Variable 0 is the mean load.
    struct Regression {
        double baseTailMs { 0 };
        std::vector<double> products {};
        std::vector<double> targets {};
        std::vector<double> pressures {};

        /// Where the ridge pulls the coefficients to.
        std::vector<double> priors {};
        Instant decayedAt { neverInstant };
        Instant solvedAt { neverInstant };
    };

    size_t indexOf(const std::string& fillImage);
    void grow(Regression&) const;
    void decay(Regression&, Instant now) const;
    void solve(Regression&) const;

    std::map<std::string, size_t> m_fillImages;
    std::map<std::string, Regression> m_regressions;
};

}
