#include <LibDecision/RunTimeEstimator.h>
#include <algorithm>
#include <cmath>

namespace Bergamot {

// Minimum weight of the newest run, so that the estimate follows a change of run times within about 20 runs.
static constexpr double minWeight = 0.1;
static constexpr uint32_t minSamples = 3;
static constexpr double defaultRunMs = 300'000;
static constexpr double maxRunMs = 30.0 * 24 * 3600 * 1000;

void RunTimeEstimator::recordRun(KindIndex kind, int64_t declaredMs, int64_t actualMs)
{
    if (actualMs <= 0)
        return;
    if (m_kinds.size() <= kind)
        m_kinds.resize(kind + 1);
    auto& history = m_kinds[kind];
    ++history.runSamples;
    double weight = std::max(minWeight, 1.0 / history.runSamples);
    history.meanLogRun += weight * (std::log(static_cast<double>(actualMs)) - history.meanLogRun);
    if (declaredMs <= 0)
        return;
    ++history.ratioSamples;
    weight = std::max(minWeight, 1.0 / history.ratioSamples);
    double error = std::log(static_cast<double>(actualMs) / static_cast<double>(declaredMs)) - history.meanLogRatio;
    history.meanLogRatio += weight * error;
    history.varianceLogRatio += weight * (error * error - history.varianceLogRatio);
}

Milliseconds RunTimeEstimator::estimate(KindIndex kind, int64_t declaredMs) const
{
    double expected = declaredMs > 0 ? static_cast<double>(declaredMs) : defaultRunMs;
    if (kind < m_kinds.size()) {
        const auto& history = m_kinds[kind];
        double deviation = std::sqrt(history.varianceLogRatio);
        if (declaredMs > 0 && history.ratioSamples >= minSamples)
            expected *= std::exp(std::clamp(history.meanLogRatio + deviation, -20.0, 20.0));
        else if (declaredMs <= 0 && history.runSamples >= minSamples)
            expected = std::exp(history.meanLogRun + deviation);
    }
    return Milliseconds { static_cast<int64_t>(std::clamp(expected, 1.0, maxRunMs)) };
}

}
