#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// One kind of job of a modelled day, with the figures of a site file.
struct DayJobKind {
    std::string queue {};
    double jobsPerSecond { 0 };

    /// Jobs that are there when the day begins.
    uint32_t initialJobs { 0 };
    double meanSteps { 1 };
    double meanTasks { 1 };
    double meanWorkMs { 1000 };
    double meanCpuMillis { 1000 };
    double meanMemoryMb { 1000 };

    /// Coefficient of variation of the processors of a task; the most is three times the mean.
    double cpuSpread { 0.3 };

    /// Estimates are off by up to this share.
    double estimateError { 0.5 };
    uint32_t priority { 0 };
    double stretch { 1.5 };
    uint32_t targetLatencyMs { 250 };
    bool longRunning { false };
    bool bestEffort { false };
    uint32_t images { 0 };

    /// Share of the steps whose tasks may run as copies.
    double copyShare { 0 };
};

/// Sizes and load of a modelled day.
struct DaySize {
    std::string name {};
    uint32_t workers { 0 };
    uint32_t zones { 1 };
    int64_t workerCpuMillis { 32000 };
    int64_t workerMemoryMb { 128000 };
    std::vector<DayJobKind> kinds {};

    /// Tail of an undisturbed serving task, and its target in relation to that.
    double baseTailLatencyMs { 4 };
    double targetFactor { 4.5 };

    /// How long callers keep jobs that last.
    double meanStayMs { 70000 };

    /// Share of the filling images that press serving ones, and how strongly.
    double pressingShare { 0.65 };
    double pressure { 5 };
    int64_t lengthMs { 34000 };

    /// Whether workers turn slow and let tasks stand still for some seconds.
    bool faults { false };

    static DaySize riga();
    static DaySize sofia();
    static DaySize rigaGrown();
    static DaySize sofiaGrown();

    /// The load of the grown Riga site on many more workers.
    static DaySize rigaWide();
};

}
