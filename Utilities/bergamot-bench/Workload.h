#pragma once

#include <LibCore/Resources.h>
#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Bergamot {

/// Sizes of a synthetic cluster and its load.
struct WorkloadSize {
    std::string name {};
    size_t workers { 0 };
    size_t zones { 0 };
    Resources worker {};
    size_t accelerators { 0 };
    size_t serviceKinds { 4 };
    size_t batchKinds { 12 };
    size_t serviceTasks { 0 };
    Resources serviceTask {};
    size_t teams { 6 };
    /// Batch jobs submitted each second, and their mean processors and run time.
    double jobsPerSecond { 1 };
    double meanCores { 3 };
    double meanRunSeconds { 200 };
    int64_t durationMs { 2'400'000 };
    /// Faults are placed at fixed shares of the duration.
    bool faults { true };
};

/// Behaviour of a kind that the scheduler does not know in advance.
struct KindBehaviour {
    std::string name {};
    bool isService { false };
    /// Ratio of the actual processor use to the declared processors.
    double usageRatio { 1 };
    /// Ratio of the declared run time to the actual one.
    double runTimeBias { 1 };
    /// Whether tasks of the kind yield to services and urgent jobs.
    bool yieldsToServices { true };
    double loadPhase { 0 };
};

/// Synthetic workload of one seed: the kinds, and the slowdown of each pair of kinds at each load level. The scheduler
/// has to learn these.
class Workload {
public:
    Workload(WorkloadSize, uint64_t seed);

    const WorkloadSize& size() const { return m_size; }
    const std::vector<KindBehaviour>& kinds() const { return m_kinds; }
    size_t urgentKind() const { return m_kinds.size() - 1; }
    /// Slowdown coefficient that a neighbour causes in a service at a load (0 to 1). Some coefficients change at half
    /// of the duration.
    double slowdown(size_t victim, size_t neighbour, double load, int64_t nowMs) const;
    /// Load of a service kind at a time (0 to 1).
    double load(size_t service, int64_t nowMs) const;

    static WorkloadSize riga();
    static WorkloadSize sofia();
    static WorkloadSize design();
    /// The design size scaled down, for ablations over many seeds.
    static WorkloadSize mixed();

private:
    double drawCoefficient(size_t victim, size_t neighbour, std::mt19937_64&) const;

    WorkloadSize m_size;
    std::vector<KindBehaviour> m_kinds;
    std::array<std::vector<std::vector<double>>, 2> m_slowdownCoefficients;
};

}
