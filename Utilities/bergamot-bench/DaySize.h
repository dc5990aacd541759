#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// One kind of job of a modelled day. The values correspond to those of a site file.
struct DayJobKind {
    std::string queue {};
    double jobsPerSecond { 0 };

    /// Jobs that exist at the start of the day.
    uint32_t initialJobs { 0 };
    double meanSteps { 1 };
    double meanTasks { 1 };
    double meanWorkMs { 1000 };
    double meanCpuMillis { 1000 };
    double meanMemoryMb { 1000 };

    /// Coefficient of variation of the processors of a task. The maximum is three times the mean.
    double cpuVariation { 0.3 };

    /// Largest relative error of run time estimates.
    double maxEstimateError { 0.5 };
    uint32_t priority { 0 };
    double stretch { 1.5 };
    uint32_t targetLatencyMs { 250 };
    bool longRunning { false };
    bool bestEffort { false };
    uint32_t images { 0 };

    /// Share of the steps whose tasks may be run speculatively.
    double speculativeShare { 0 };
};

/// Sizes and load of a modelled day.
struct DaySize {
    std::string name {};
    uint32_t workers { 0 };
    uint32_t zones { 1 };
    int64_t workerCpuMillis { 32000 };
    int64_t workerMemoryMb { 128000 };
    std::vector<DayJobKind> kinds {};

    /// Tail latency of a long-running task without interference, and the ratio of its target to that latency.
    double baseTailLatencyMs { 4 };
    double targetLatencyFactor { 4.5 };

    /// Mean time after which callers cancel long-running jobs.
    double meanLifetimeMs { 70000 };

    /// Share of the best-effort images that interfere with long-running images, and the largest interference
    /// coefficient of a pair (additional utilisation per share of the worker's processors).
    double interferingShare { 0.65 };
    double maxInterference { 5 };
    int64_t durationMs { 34000 };

    /// Whether some workers run slowly, and others make no progress, for several seconds.
    bool faults { false };

    static DaySize riga();
    static DaySize sofia();
    static DaySize rigaGrown();
    static DaySize sofiaGrown();

    /// The load of the grown Riga site on 3000 workers.
    static DaySize rigaWide();
    static DaySize rigaLarge();
};

}
