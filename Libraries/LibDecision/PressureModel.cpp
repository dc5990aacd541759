#include <LibDecision/PressureModel.h>
#include <algorithm>
#include <cmath>

namespace Bergamot {

static constexpr double highestUtilisation = 0.97;
static constexpr double highestPressure = 30;

/// Images beyond this number are not told apart from those that press nothing.
static constexpr size_t maxFillImages = 32;

/// Observations lose half their weight in this time.
static constexpr double halfLifeMs = 20000;
static constexpr Milliseconds solveInterval { 500 };

/// Weight of what is assumed of a pair before it is observed, in squared shares.
static constexpr double ridge = 0.02;
static constexpr int solveRounds = 12;
static constexpr double loadLearningRate = 0.4;

/// Long queues show less utilisation than there is, so the regression finds too little pressure.
static constexpr double cautionFactor = 1.4;

size_t PressureModel::indexOf(const std::string& fillImage)
{
    auto it = m_fillImages.find(fillImage);
    if (it != m_fillImages.end())
        return it->second;
    if (m_fillImages.size() >= maxFillImages)
        return 0;
    auto index = m_fillImages.size() + 1;
    m_fillImages.emplace(fillImage, index);
    return index;
}

double PressureModel::utilisationAt(const std::string& servingImage, double tailMs) const
{
    auto it = m_regressions.find(servingImage);
    if (it == m_regressions.end() || tailMs <= 0)
        return 0;
    return std::clamp(1 - it->second.baseTailMs / tailMs, 0.0, highestUtilisation);
}

double PressureModel::pressure(const std::string& fillImage, const std::string& servingImage) const
{
    auto fill = m_fillImages.find(fillImage);
    auto serving = m_regressions.find(servingImage);
    if (fill == m_fillImages.end() || serving == m_regressions.end())
        return 0;
    const auto& pressures = serving->second.pressures;
    return fill->second < pressures.size() ? cautionFactor * pressures[fill->second] : 0;
}

void PressureModel::grow(Regression& regression) const
{
    auto old = regression.targets.size();
    auto size = m_fillImages.size() + 1;
    if (old == size)
        return;
    std::vector<double> products(size * size, 0);
    for (size_t i = 0; i < old; ++i) {
        for (size_t j = 0; j < old; ++j)
            products[i * size + j] = regression.products[i * old + j];
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
    auto passed = static_cast<double>((now - regression.decayedAt).count());
    regression.decayedAt = now;
    double factor = std::exp2(-passed / halfLifeMs);
    for (auto& it : regression.products)
        it *= factor;
    for (auto& it : regression.targets)
        it *= factor;
}

/// Minimises the weighted squared error by coordinate descent; coefficients stay non-negative.
void PressureModel::solve(Regression& regression) const
{
    auto size = regression.targets.size();
    for (int round = 0; round < solveRounds; ++round) {
        for (size_t i = 0; i < size; ++i) {
            double rest = regression.targets[i] + ridge * regression.priors[i];
            for (size_t j = 0; j < size; ++j) {
                if (j != i)
                    rest -= regression.products[i * size + j] * regression.pressures[j];
            }
            double curvature = regression.products[i * size + i] + ridge;
            regression.pressures[i] = std::clamp(rest / curvature, 0.0, highestPressure);
        }
    }
}

PressureRecord PressureModel::save() const
{
    PressureRecord record;
    for (const auto& [serving, regression] : m_regressions) {
        record.bases.push_back({ serving, regression.baseTailMs });
        for (const auto& [fill, index] : m_fillImages) {
            if (index < regression.pressures.size())
                record.pairs.push_back({ fill, serving, regression.pressures[index] });
        }
    }
    return record;
}

void PressureModel::restore(const PressureRecord& record)
{
    for (const auto& base : record.bases)
        m_regressions[base.servingImage].baseTailMs = base.tailMs;
    for (const auto& pair : record.pairs)
        indexOf(pair.fillImage);
    for (auto& [serving, regression] : m_regressions)
        grow(regression);
    for (const auto& pair : record.pairs) {
        auto index = indexOf(pair.fillImage);
        auto it = m_regressions.find(pair.servingImage);
        if (index == 0 || it == m_regressions.end())
            continue;
        it->second.priors[index] = std::clamp(pair.pressure, 0.0, highestPressure);
        it->second.pressures[index] = it->second.priors[index];
    }
}

void PressureModel::observe(
    const std::string& servingImage, double tailMs, const Shares& shares, double& load, Instant now)
{
    if (tailMs <= 0)
        return;
    for (const auto& [image, share] : shares)
        indexOf(image);
    auto [it, first] = m_regressions.try_emplace(servingImage);
    auto& regression = it->second;
    regression.baseTailMs = first ? tailMs : std::min(regression.baseTailMs, tailMs);
    grow(regression);
    decay(regression, now);
    double observed = utilisationAt(servingImage, tailMs);
    std::vector<double> row(regression.targets.size(), 0);
    row[0] = 1;
    double explained = 0;
    for (const auto& [image, share] : shares) {
        auto index = indexOf(image);
        if (index == 0)
            continue;
        row[index] += share;
        explained += share * regression.pressures[index];
    }
    for (size_t i = 0; i < row.size(); ++i) {
        regression.targets[i] += row[i] * observed;
        for (size_t j = 0; j < row.size(); ++j)
            regression.products[i * row.size() + j] += row[i] * row[j];
    }
    if (now - regression.solvedAt >= solveInterval) {
        regression.solvedAt = now;
        solve(regression);
    }
    load = std::clamp(load + loadLearningRate * (observed - explained - load), 0.0, highestUtilisation);
}

}
