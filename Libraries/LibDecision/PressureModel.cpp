#include <LibDecision/PressureModel.h>
#include <algorithm>
#include <cmath>
#include <utility>

namespace Bergamot {

static constexpr double maxUtilisation = 0.97;
static constexpr double maxPressure = 30;

/// Maximum number of distinct best-effort images. Further ones get the number 0, whose pressure is 0.
static constexpr size_t maxBestEffortImages = 32;

/// Maximum number of distinct serving images. Bounds the memory of the model, at about 9 KB an image.
static constexpr size_t maxServingImages = 256;

/// Bounds for the encoded base tail latencies and for the pairs of a saved record, in bytes.
static constexpr size_t maxSavedBaseBytes = size_t { 48 } << 10;
static constexpr size_t maxSavedPairBytes = size_t { 96 } << 10;

/// Upper bound for the encoded size of an entry beside its names.
static constexpr size_t savedEntryBytes = 20;

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
    auto it = m_servingImages.find(name);
    if (it != m_servingImages.end())
        return it->second;
    if (m_regressions.size() >= maxServingImages)
        return ServingImage::Untracked;
    auto number = static_cast<ServingImage>(m_regressions.size());
    m_servingImages.emplace(name, number);
    m_regressions.emplace_back();
    return number;
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
    using Entry = std::pair<const std::string*, const Regression*>;
    std::vector<Entry> observed;
    for (const auto& [name, number] : m_servingImages) {
        const auto& regression = m_regressions[static_cast<size_t>(number)];
        if (regression.baseTailLatencyMs > 0)
            observed.emplace_back(&name, &regression);
    }
    std::ranges::stable_sort(observed, std::ranges::greater {}, [](const Entry& it) { return it.second->decayedAt; });
    PressureRecord record;
    std::vector<PairPressure> pairs;
    size_t bytes = 0;
    for (const auto& [name, regression] : observed) {
        bytes += name->size() + savedEntryBytes;
        if (bytes > maxSavedBaseBytes)
            break;
        record.baseTailLatencies.push_back({ *name, regression->baseTailLatencyMs });
        for (const auto& [bestEffort, number] : m_bestEffortImages) {
            auto index = static_cast<size_t>(number);
            // A pressure of 0 is what a successor assumes without an entry.
            if (index < regression->pressures.size() && regression->pressures[index] > 0)
                pairs.push_back({ bestEffort, *name, regression->pressures[index] });
        }
    }
    std::ranges::stable_sort(pairs, std::ranges::greater {}, &PairPressure::pressure);
    bytes = 0;
    for (auto& pair : pairs) {
        bytes += pair.bestEffortImage.size() + pair.servingImage.size() + savedEntryBytes;
        if (bytes > maxSavedPairBytes)
            break;
        record.pairs.push_back(std::move(pair));
    }
    return record;
}

void PressureModel::restore(const PressureRecord& record)
{
    for (const auto& base : record.baseTailLatencies) {
        if (auto number = servingImage(base.servingImage); number != ServingImage::Untracked)
            m_regressions[static_cast<size_t>(number)].baseTailLatencyMs = base.tailLatencyMs;
    }
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
