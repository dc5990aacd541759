#include <LibDecision/PressureModel.h>
#include <algorithm>

namespace Bergamot {

static constexpr double highestUtilisation = 0.97;
static constexpr double highestPressure = 30;
static constexpr double leastLearningRate = 0.08;
static constexpr double loadLearningRate = 0.4;

/// Keeps the step finite when hardly any processors are in use.
static constexpr double shareRegularisation = 0.001;

/// Shares below this say nothing about pressure.
static constexpr double leastShare = 0.01;

double PressureModel::utilisationAt(const std::string& servingImage, double tailMs) const
{
    auto it = m_baseTails.find(servingImage);
    if (it == m_baseTails.end() || tailMs <= 0)
        return 0;
    return std::clamp(1 - it->second / tailMs, 0.0, highestUtilisation);
}

double PressureModel::pressure(const std::string& fillImage, const std::string& servingImage) const
{
    auto it = m_pairs.find({ fillImage, servingImage });
    return it == m_pairs.end() ? 0 : it->second.pressure;
}

void PressureModel::observe(
    const std::string& servingImage, double tailMs, const std::vector<Fill>& fills, double& load)
{
    if (tailMs <= 0)
        return;
    auto [base, first] = m_baseTails.try_emplace(servingImage, tailMs);
    base->second = std::min(base->second, tailMs);
    double observed = utilisationAt(servingImage, tailMs);
    double explained = 0;
    double squares = 0;
    double total = 0;
    for (const auto& fill : fills) {
        explained += pressure(fill.image, servingImage) * fill.share;
        squares += fill.share * fill.share;
        total += fill.share;
    }
    double error = observed - load - explained;
    double loadPart = total < leastShare ? 1 : 0.3;
    load = std::clamp(load + loadLearningRate * loadPart * error, 0.0, highestUtilisation);
    if (total < leastShare)
        return;
    for (const auto& fill : fills) {
        auto& pair = m_pairs[{ fill.image, servingImage }];
        double rate = std::max(leastLearningRate, 1.0 / (2 + pair.observations));
        ++pair.observations;
        pair.pressure += rate * error * fill.share / (squares + shareRegularisation);
        pair.pressure = std::clamp(pair.pressure, 0.0, highestPressure);
    }
}

}
