#include "DaySize.h"

namespace Bergamot {

// Rates, task counts and run times are those of the site files of the current, the grown and the large deployments.

DaySize DaySize::riga()
{
    return { .name = "riga-day",
        .workers = 48,
        .zones = 3,
        .kinds = { { .queue = "topup",
                       .jobsPerSecond = 4.44,
                       .meanSteps = 1.6,
                       .meanTasks = 6,
                       .meanWorkMs = 1000,
                       .meanCpuMillis = 2100,
                       .meanMemoryMb = 4200,
                       .cpuVariation = 0.45,
                       .speculativeShare = 0.3 },
            { .queue = "settle",
                .jobsPerSecond = 4.27,
                .initialJobs = 12,
                .meanSteps = 2,
                .meanTasks = 8,
                .meanWorkMs = 2700,
                .meanCpuMillis = 3500,
                .meanMemoryMb = 6400,
                .priority = 2,
                .stretch = 2,
                .targetLatencyMs = 1000,
                .bestEffort = true,
                .images = 9 },
            { .queue = "ledger",
                .jobsPerSecond = 0.206,
                .initialJobs = 37,
                .meanTasks = 6,
                .meanWorkMs = 500,
                .meanCpuMillis = 6400,
                .meanMemoryMb = 13000,
                .stretch = 2.2,
                .targetLatencyMs = 2500,
                .longRunning = true,
                .images = 5 } } };
}

DaySize DaySize::sofia()
{
    auto day = riga();
    day.name = "sofia-day";
    day.workers = 66;
    day.zones = 4;
    day.workerCpuMillis = 64000;
    day.workerMemoryMb = 256000;
    day.interferingShare = 0.6;
    auto& quick = day.kinds[0];
    quick.queue = "table-check";
    quick.jobsPerSecond = 6.92;
    quick.meanWorkMs = 640;
    quick.meanCpuMillis = 5800;
    quick.meanMemoryMb = 11000;
    auto& batch = day.kinds[1];
    batch.queue = "regional-aggregate";
    batch.jobsPerSecond = 9.33;
    batch.meanWorkMs = 1700;
    batch.meanCpuMillis = 7000;
    batch.meanMemoryMb = 13000;
    auto& longRunningKind = day.kinds[2];
    longRunningKind.queue = "meter-reconcile";
    longRunningKind.jobsPerSecond = 0.283;
    longRunningKind.initialJobs = 51;
    longRunningKind.meanWorkMs = 400;
    longRunningKind.meanCpuMillis = 13000;
    longRunningKind.meanMemoryMb = 26000;
    return day;
}

DaySize DaySize::rigaGrown()
{
    auto day = riga();
    day.name = "riga-grown-day";
    day.workers = 350;
    auto& quick = day.kinds[0];
    quick.jobsPerSecond = 11.6;
    quick.meanTasks = 10;
    quick.meanCpuMillis = 3700;
    quick.meanMemoryMb = 7400;
    auto& batch = day.kinds[1];
    batch.jobsPerSecond = 12.4;
    batch.meanTasks = 20;
    batch.initialJobs = 34;
    batch.images = 18;
    auto& longRunningKind = day.kinds[2];
    longRunningKind.jobsPerSecond = 0.652;
    longRunningKind.meanTasks = 14;
    longRunningKind.initialJobs = 117;
    longRunningKind.images = 10;
    return day;
}

DaySize DaySize::rigaWide()
{
    auto day = rigaGrown();
    day.name = "riga-wide-day";
    day.workers = 3000;
    return day;
}

DaySize DaySize::rigaLarge()
{
    auto day = rigaGrown();
    day.name = "riga-large-day";
    day.workers = 540;
    day.zones = 5;
    auto& quick = day.kinds[0];
    quick.jobsPerSecond = 13.7;
    quick.meanTasks = 9.4;
    quick.meanWorkMs = 800;
    quick.meanCpuMillis = 6100;
    quick.meanMemoryMb = 12000;
    auto& batch = day.kinds[1];
    batch.jobsPerSecond = 12.1;
    batch.meanTasks = 39;
    batch.meanWorkMs = 2200;
    batch.initialJobs = 33;
    batch.images = 30;
    auto& longRunningKind = day.kinds[2];
    longRunningKind.jobsPerSecond = 0.583;
    longRunningKind.meanTasks = 24;
    longRunningKind.initialJobs = 105;
    longRunningKind.images = 16;
    return day;
}

DaySize DaySize::sofiaGrown()
{
    auto day = sofia();
    day.name = "sofia-grown-day";
    day.workers = 490;
    day.zones = 5;
    day.baseTailLatencyMs = 10;
    auto& quick = day.kinds[0];
    quick.jobsPerSecond = 17.1;
    quick.meanTasks = 10;
    quick.meanCpuMillis = 11000;
    quick.meanMemoryMb = 22000;
    quick.maxEstimateError = 0.2;
    auto& batch = day.kinds[1];
    batch.jobsPerSecond = 21.4;
    batch.meanTasks = 20;
    batch.meanWorkMs = 2200;
    batch.initialJobs = 47;
    batch.images = 18;
    batch.maxEstimateError = 0.2;
    auto& longRunningKind = day.kinds[2];
    longRunningKind.jobsPerSecond = 0.906;
    longRunningKind.meanTasks = 14;
    longRunningKind.initialJobs = 163;
    longRunningKind.images = 10;
    return day;
}

}
