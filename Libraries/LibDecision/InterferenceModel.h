#pragma once

#include <LibDecision/SlowdownEstimator.h>
#include <array>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// Learns the slowdown of each pair of kinds at each load level from delayed, noisy reports.
///
/// Slowdown is modelled as the sum over the neighbours of share x coefficient. Each coefficient has a mean and a
/// variance, which a Kalman filter with a diagonal covariance updates. The variance grows with time, so that old
/// observations lose weight. A service's own kind is not a neighbour, because the service's latency when running
/// alone includes its other tasks on the host; for the own kind, estimatePair() returns the latency increase that no
/// neighbour explains. When prediction errors stay larger than the variance explains, the variance of the
/// coefficients involved is reset, so that they are relearned.
class InterferenceModel final : public SlowdownEstimator {
public:
    struct Options {
        double priorMean { 0.25 };
        double priorDeviation { 0.35 };
        /// Services are sized to run side by side, so the prior slowdown by a neighbouring service is smaller.
        double servicePriorMean { 0.05 };
        double servicePriorDeviation { 0.1 };
        /// Standard deviation of one report, relative to the reported ratio.
        double reportNoise { 0.05 };
        /// Growth of the variance of a coefficient per hour without reports.
        double variancePerHour { 0.01 };
        /// A cell with fewer reports than this uses the estimate of another load level.
        uint32_t minSamples { 4 };
        /// Cumulative sum of errors (in standard deviations, each clipped) at which a shift of behaviour is detected.
        /// A series of noisy reports does not reach it, because errors of opposite sign cancel out.
        double shiftThreshold { 10.0 };
        /// Standard deviation of the latency increase that no neighbour explains, such as the disturbance by task
        /// starts.
        double baselineDeviation { 0.03 };
        bool detectsShifts { true };
        bool usesLoadLevels { true };
    };

    static constexpr size_t loadLevels = 3;
    static size_t loadLevelOf(double load) { return load < 0.45 ? 0 : load < 0.7 ? 1 : 2; }

    InterferenceModel()
        : InterferenceModel(Options {})
    {
    }
    explicit InterferenceModel(Options options)
        : m_options(options)
    {
    }

    void declareService(KindIndex) override;
    void observe(KindIndex victim, const std::vector<Neighbour>&, double load, double ratio, Instant now) override;
    SlowdownEstimate estimatePair(KindIndex victim, Neighbour, double load) const override;
    size_t stateBytes() const override;

    /// Number of detected shifts of behaviour.
    uint64_t shiftCount() const { return m_shiftCount; }

private:
    struct Cell {
        float mean { 0 };
        float variance { 0 };
        uint32_t samples { 0 };
        Instant updatedAt {};
    };
    using LoadLevelCells = std::array<Cell, loadLevels>;
    /// Cumulative sums (CUSUM) of positive and negative prediction errors.
    struct CumulativeError {
        double up { 0 };
        double down { 0 };
    };
    struct Victim {
        std::vector<LoadLevelCells> byNeighbour {};
        std::array<CumulativeError, loadLevels> cumulativeErrors {};
        /// Latency increase that no neighbour explains. Without a baseline, this increase would be attributed to
        /// neighbours with little effect.
        std::array<Cell, loadLevels> baselines {};
        bool isService { false };
    };

    SlowdownEstimate baselineOf(KindIndex victim, size_t level) const;
    Cell* cellOf(KindIndex victim, KindIndex neighbour, size_t level, Instant now);
    const LoadLevelCells* cellsOf(KindIndex victim, KindIndex neighbour) const;
    void detectShift(Victim&, size_t level, double error, double variance, const std::vector<Neighbour>&);

    Options m_options;
    std::vector<Victim> m_victims;
    uint64_t m_shiftCount { 0 };
};

}
