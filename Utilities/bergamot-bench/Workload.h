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

/// What the scheduler does not see of a kind.
struct KindTruth {
    std::string name {};
    bool isService { false };
    /// Real use as a ratio to the declared processors.
    double useRatio { 1 };
    /// Declared run times are this much too long (above 1) or too short.
    double runBias { 1 };
    bool yields { true };
    double phase { 0 };
};

/// The hidden truth of one seed: kinds and the slowdown of each pair at each load level.
class Workload {
public:
    Workload(WorkloadSize, uint64_t seed);

    const WorkloadSize& size() const { return m_size; }
    const std::vector<KindTruth>& kinds() const { return m_kinds; }
    size_t urgentKind() const { return m_kinds.size() - 1; }
    /// Slowdown coefficient of a service by a neighbour at a load (0 to 1); behaviour shifts half-way.
    double slowdown(size_t victim, size_t neighbour, double load, int64_t nowMs) const;
    /// Load of a service kind at a time, 0 to 1.
    double load(size_t service, int64_t nowMs) const;

    static WorkloadSize riga();
    static WorkloadSize sofia();
    static WorkloadSize design();
    /// The design size scaled down, for ablations over many seeds.
    static WorkloadSize mixed();

private:
    double drawCoefficient(size_t victim, size_t neighbour, std::mt19937_64&) const;

    WorkloadSize m_size;
    std::vector<KindTruth> m_kinds;
    std::array<std::vector<std::vector<double>>, 2> m_table;
};

}
