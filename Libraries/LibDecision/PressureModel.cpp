#include <LibDecision/PressureModel.h>
#include <algorithm>
#include <cmath>

namespace Bergamot {

static constexpr double maxUtilisation = 0.97;
static constexpr double maxPressure = 30;

/// Maximum number of distinct best-effort images. Further ones get the number 0, whose pressure is 0.
static constexpr size_t maxBestEffortImages = 32;

/// The weight of an observation halves in this time.
static constexpr double halfLifeMs = 20000;
static constexpr Milliseconds solveInterval { 500 };

/// Weight of the prior of a pair against its observations, in squared processor shares.
static constexpr double ridgeWeight = 0.02;
static constexpr int descentRounds = 12;
static constexpr double loadLearningRate = 0.4;

/// Corrects estimated pressures, which are too low because the tail latency of long queues understates the utilisation.
static constexpr double pressureSafetyFactor = 1.4;

BestEffortImage PressureModel::bestEffortImage(const std::string& name)
{
    auto it = m_bestEffortImages.find(name);
    if (it != m_bestEffortImages.end())
        return it->second;
    if (m_bestEffortImages.size() >= maxBestEffortImages)
        return BestEffortImage::Untracked;
    auto number = static_cast<BestEffortImage>(m_bestEffortImages.size() + 1);
    m_bestEffortImages.emplace(name, number);
    return number;
}

ServingImage PressureModel::servingImage(const std::string& name)
{
    auto [it, first] = m_servingImages.try_emplace(name, static_cast<ServingImage>(m_regressions.size()));
    if (first)
        m_regressions.emplace_back();
    return it->second;
}

const PressureModel::Regression* PressureModel::find(ServingImage image) const
{
    auto index = static_cast<size_t>(image);
    return index < m_regressions.size() ? &m_regressions[index] : nullptr;
}

double PressureModel::utilisationAt(ServingImage image, double tailLatencyMs) const
{
    const auto* regression = find(image);
    double baseTailLatencyMs = regression ? regression->baseTailLatencyMs : 0;
    if (baseTailLatencyMs <= 0 || tailLatencyMs <= 0)
        return 0;
    return std::clamp(1 - baseTailLatencyMs / tailLatencyMs, 0.0, maxUtilisation);
}

double PressureModel::pressure(BestEffortImage bestEffortImage, ServingImage servingImage) const
{
    const auto* regression = find(servingImage);
    auto index = static_cast<size_t>(bestEffortImage);
    if (!regression || bestEffortImage == BestEffortImage::Untracked || index >= regression->pressures.size())
        return 0;
    return pressureSafetyFactor * regression->pressures[index];
}

void PressureModel::addNewImages(Regression& regression) const
{
    auto oldSize = regression.targets.size();
    auto size = m_bestEffortImages.size() + 1;
    if (oldSize == size)
        return;
    std::vector<double> products(size * size, 0);
    for (size_t i = 0; i < oldSize; ++i) {
        for (size_t j = 0; j < oldSize; ++j)
            products[i * size + j] = regression.products[i * oldSize + j];
    }
    regression.products = std::move(products);
    regression.targets.resize(size, 0);
    regression.pressures.resize(size, 0);
    regression.priors.resize(size, 0);
}

void PressureModel::decay(Regression& regression, Instant now) const
{
    if (regression.decayedAt == neverInstant)
        regression.decayedAt = now;
    auto elapsedMs = static_cast<double>((now - regression.decayedAt).count());
    regression.decayedAt = now;
    // A report may contain several serving tasks of the image.
    if (elapsedMs == 0)
        return;
    double factor = std::exp2(-elapsedMs / halfLifeMs);
    for (auto& it : regression.products)
        it *= factor;
    for (auto& it : regression.targets)
        it *= factor;
}

/// Minimises the weighted squared error by coordinate descent, with coefficients clamped to non-negative values.
void PressureModel::solve(Regression& regression) const
{
    auto size = regression.targets.size();
    for (int round = 0; round < descentRounds; ++round) {
        for (size_t i = 0; i < size; ++i) {
            double residual = regression.targets[i] + ridgeWeight * regression.priors[i];
            for (size_t j = 0; j < size; ++j) {
                if (j != i)
                    residual -= regression.products[i * size + j] * regression.pressures[j];
            }
            double curvature = regression.products[i * size + i] + ridgeWeight;
            regression.pressures[i] = std::clamp(residual / curvature, 0.0, maxPressure);
        }
    }
}

PressureRecord PressureModel::save() const
{
    PressureRecord record;
    for (const auto& [serving, number] : m_servingImages) {
        const auto& regression = m_regressions[static_cast<size_t>(number)];
        if (regression.baseTailLatencyMs <= 0)
            continue;
        record.baseTailLatencies.push_back({ serving, regression.baseTailLatencyMs });
        for (const auto& [bestEffort, bestEffortNumber] : m_bestEffortImages) {
            auto index = static_cast<size_t>(bestEffortNumber);
            if (index < regression.pressures.size())
                record.pairs.push_back({ bestEffort, serving, regression.pressures[index] });
        }
    }
    return record;
}

void PressureModel::restore(const PressureRecord& record)
{
    for (const auto& base : record.baseTailLatencies)
        m_regressions[static_cast<size_t>(servingImage(base.servingImage))].baseTailLatencyMs = base.tailLatencyMs;
    for (const auto& pair : record.pairs)
        bestEffortImage(pair.bestEffortImage);
    for (auto& regression : m_regressions)
        addNewImages(regression);
    for (const auto& pair : record.pairs) {
        auto index = static_cast<size_t>(bestEffortImage(pair.bestEffortImage));
        auto it = m_servingImages.find(pair.servingImage);
        if (index == 0 || it == m_servingImages.end())
            continue;
        auto& regression = m_regressions[static_cast<size_t>(it->second)];
        regression.priors[index] = std::clamp(pair.pressure, 0.0, maxPressure);
        regression.pressures[index] = regression.priors[index];
    }
}

void PressureModel::observe(
    ServingImage servingImage, double tailLatencyMs, const Shares& shares, double& load, Instant now)
{
    auto number = static_cast<size_t>(servingImage);
    if (tailLatencyMs <= 0 || number >= m_regressions.size())
        return;
    auto& regression = m_regressions[number];
    regression.baseTailLatencyMs
        = regression.baseTailLatencyMs > 0 ? std::min(regression.baseTailLatencyMs, tailLatencyMs) : tailLatencyMs;
    addNewImages(regression);
    decay(regression, now);
    double observed = utilisationAt(servingImage, tailLatencyMs);
    auto size = regression.targets.size();
    auto shareOf = [&](size_t index) { return index < shares.size() ? shares[index] : 0; };
    double predicted = 0;
    for (size_t i = 1; i < size; ++i)
        predicted += shareOf(i) * regression.pressures[i];
    for (size_t i = 0; i < size; ++i) {
        double variable = i == 0 ? 1 : shareOf(i);
        if (variable == 0)
            continue;
        regression.targets[i] += variable * observed;
        regression.products[i * size] += variable;
        for (size_t j = 1; j < size; ++j)
            regression.products[i * size + j] += variable * shareOf(j);
    }
    if (now - regression.solvedAt >= solveInterval) {
        regression.solvedAt = now;
        solve(regression);
    }
    load = std::clamp(load + loadLearningRate * (observed - predicted - load), 0.0, maxUtilisation);
}

}
