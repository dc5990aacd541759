#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Bergamot {

/// Learns how much the tasks that fill disturb the tasks that serve beside them, by pair of images, from the tail
/// latencies and processor use that workers report with a lag. Answers interference that differs by pair and changes
/// with load.
///
/// The model is that of a queue: tail = base / (1 - utilisation), and the utilisation of a serving task is its own load
/// plus the pressure of each pair times the share of the worker's processors that the filling task uses.
class PressureModel {
public:
    struct Fill {
        std::string image {};

        /// Processors in use, as a share of those of the worker.
        double share { 0 };
    };

    /// Takes one report of a serving task. `load` is the estimate for this task, which is updated.
    void observe(const std::string& servingImage, double tailMs, const std::vector<Fill>&, double& load);

    /// Utilisation per share of the worker's processors; 0 for a pair that has not been seen.
    double pressure(const std::string& fillImage, const std::string& servingImage) const;

    /// The utilisation at which the tail reaches `tailMs`.
    double utilisationAt(const std::string& servingImage, double tailMs) const;

private:
    struct Pair {
        double pressure { 0 };
        uint32_t observations { 0 };
    };

    std::map<std::string, double> m_baseTails;
    std::map<std::pair<std::string, std::string>, Pair> m_pairs;
};

}
