#include "Workload.h"
#include <algorithm>
#include <cmath>
#include <numbers>

namespace Bergamot {

static double uniform(std::mt19937_64& random, double low, double high)
{
    return std::uniform_real_distribution<double> { low, high }(random);
}

Workload::Workload(WorkloadSize size, uint64_t seed)
    : m_size(std::move(size))
{
    std::mt19937_64 random { seed };
    for (size_t n = 0; n < m_size.serviceKinds; ++n)
        m_kinds.push_back(
            { .name = "service" + std::to_string(n), .isService = true, .loadPhase = uniform(random, 0, 1) });
    for (size_t n = 0; n < m_size.batchKinds; ++n) {
        // Every fourth kind uses 1.5 to 2.2 times its declared processors, and every twelfth kind never yields.
        m_kinds.push_back({ .name = "batch" + std::to_string(n),
            .usageRatio = n % 4 == 2 ? uniform(random, 1.5, 2.2) : uniform(random, 0.6, 1.0),
            .runTimeBias = std::exp(uniform(random, -1.2, 1.2)),
            .yieldsToServices = n % 12 != 5 });
    }
    m_kinds.push_back({ .name = "urgent", .usageRatio = 0.9, .yieldsToServices = false });
    for (size_t half = 0; half < m_slowdownCoefficients.size(); ++half) {
        m_slowdownCoefficients[half].assign(m_kinds.size(), std::vector<double>(m_kinds.size()));
        for (size_t victim = 0; victim < m_size.serviceKinds; ++victim) {
            for (size_t neighbour = 0; neighbour < m_kinds.size(); ++neighbour) {
                // A third of the pairs get a new coefficient in the second half of the run.
                bool isUnchanged = half == 1 && uniform(random, 0, 1) > 0.33;
                m_slowdownCoefficients[half][victim][neighbour] = isUnchanged
                    ? m_slowdownCoefficients[0][victim][neighbour]
                    : drawCoefficient(victim, neighbour, random);
            }
        }
    }
}

double Workload::drawCoefficient(size_t victim, size_t neighbour, std::mt19937_64& random) const
{
    if (m_kinds[neighbour].isService)
        return victim == neighbour ? 0 : uniform(random, 0, 0.05);
    auto draw = uniform(random, 0, 1);
    if (draw < 0.6)
        return uniform(random, 0, 0.1);
    return draw < 0.9 ? uniform(random, 0.2, 0.6) : uniform(random, 0.8, 2.0);
}

double Workload::slowdown(size_t victim, size_t neighbour, double load, int64_t nowMs) const
{
    auto half = nowMs * 2 >= m_size.durationMs ? 1u : 0u;
    return m_slowdownCoefficients[half][victim][neighbour] * (load < 0.45 ? 0.4 : load < 0.7 ? 1.0 : 1.6);
}

double Workload::load(size_t service, int64_t nowMs) const
{
    // The daily cycle is compressed into half of the run. At three quarters of the run, the load of every other service
    // increases suddenly.
    auto share = static_cast<double>(nowMs) / static_cast<double>(m_size.durationMs);
    auto wave = std::sin(2 * std::numbers::pi * (2 * share + m_kinds[service].loadPhase));
    auto shift = share > 0.75 && service % 2 == 0 ? 0.15 : 0.0;
    return std::clamp(0.5 + 0.25 * wave + shift, 0.05, 0.95);
}

WorkloadSize Workload::riga()
{
    return { .name = "riga",
        .workers = 48,
        .zones = 3,
        .worker = { 32'000, 125'000, 0 },
        .serviceTasks = 130,
        .serviceTask = { 4'000, 8'000, 0 },
        .teams = 6,
        .jobsPerSecond = 1.9,
        .meanCores = 3,
        .meanRunSeconds = 180 };
}

WorkloadSize Workload::sofia()
{
    return { .name = "sofia",
        .workers = 66,
        .zones = 4,
        .worker = { 64'000, 250'000, 0 },
        .serviceTasks = 260,
        .serviceTask = { 4'000, 8'000, 0 },
        .teams = 6,
        .jobsPerSecond = 5.0,
        .meanCores = 4,
        .meanRunSeconds = 180 };
}

WorkloadSize Workload::design()
{
    return { .name = "design",
        .workers = 720,
        .zones = 6,
        .worker = { 64'000, 250'000, 0 },
        .accelerators = 820,
        .serviceKinds = 12,
        .batchKinds = 24,
        .serviceTasks = 4'700,
        .serviceTask = { 3'000, 8'000, 0 },
        .teams = 37,
        .jobsPerSecond = 75,
        .meanCores = 2,
        .meanRunSeconds = 200,
        .durationMs = 900'000 };
}

WorkloadSize Workload::mixed()
{
    auto size = design();
    size.name = "mixed";
    size.workers = 96;
    size.accelerators = 109;
    size.serviceTasks = 627;
    size.jobsPerSecond = 10;
    size.teams = 9;
    return size;
}

}
