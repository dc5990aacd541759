#include <LibDecision/InterferenceModel.h>
#include <algorithm>
#include <cmath>

namespace Bergamot {

// A share below this tells nothing about the pair and is left out of the update.
static constexpr float minShare = 0.002f;
// Errors beyond this many standard deviations are clipped, so that one wild report can't move an estimate far.
static constexpr double clipDeviations = 3.0;
// One report adds at most this many deviations to the cumulative sum, less the drift that the model's own errors cause.
static constexpr double maxSurprise = 2.0;
static constexpr double toleratedDrift = 0.6;

InterferenceModel::Cell* InterferenceModel::cellOf(KindIndex victim, KindIndex neighbour, size_t level, Instant now)
{
    if (m_victims.size() <= victim)
        m_victims.resize(victim + 1);
    auto& byNeighbour = m_victims[victim].byNeighbour;
    if (byNeighbour.size() <= neighbour)
        byNeighbour.resize(neighbour + 1);
    auto& cell = byNeighbour[neighbour][level];
    auto prior = static_cast<float>(m_options.priorDeviation * m_options.priorDeviation);
    if (cell.samples == 0) {
        auto start = pair(victim, { .kind = neighbour, .share = 1.0f }, level == 0 ? 0.2 : level == 1 ? 0.6 : 0.9);
        cell = { .mean = static_cast<float>(start.mean),
            .variance = static_cast<float>(start.deviation * start.deviation),
            .updatedAt = now };
    }
    double hours = std::chrono::duration<double, std::ratio<3600>>(now - cell.updatedAt).count();
    cell.variance
        = std::min(prior, cell.variance + static_cast<float>(m_options.variancePerHour * std::max(0.0, hours)));
    cell.updatedAt = now;
    return &cell;
}

const InterferenceModel::Levels* InterferenceModel::levelsOf(KindIndex victim, KindIndex neighbour) const
{
    if (victim >= m_victims.size() || neighbour >= m_victims[victim].byNeighbour.size())
        return nullptr;
    return &m_victims[victim].byNeighbour[neighbour];
}

void InterferenceModel::observe(
    KindIndex victim, const std::vector<Neighbour>& neighbours, double load, double ratio, Instant now)
{
    auto level = m_options.usesLoadLevels ? levelOf(load) : 0;
    if (m_victims.size() <= victim)
        m_victims.resize(victim + 1);
    auto& base = m_victims[victim].bases[level];
    if (base.samples == 0)
        base.variance = static_cast<float>(m_options.baseDeviation * m_options.baseDeviation);
    double predicted = base.mean;
    double variance = m_options.reportNoise * m_options.reportNoise * ratio * ratio + base.variance;
    for (const auto& neighbour : neighbours) {
        if (neighbour.share < minShare || neighbour.kind == victim)
            continue;
        auto* cell = cellOf(victim, neighbour.kind, level, now);
        predicted += neighbour.share * cell->mean;
        variance += neighbour.share * neighbour.share * cell->variance;
    }
    double error = ratio - 1.0 - predicted;
    double limit = clipDeviations * std::sqrt(variance);
    double clipped = std::clamp(error, -limit, limit);
    double baseGain = base.variance / variance;
    base.mean += static_cast<float>(baseGain * clipped);
    base.variance *= static_cast<float>(1.0 - baseGain);
    ++base.samples;
    for (const auto& neighbour : neighbours) {
        if (neighbour.share < minShare || neighbour.kind == victim)
            continue;
        auto& cell = m_victims[victim].byNeighbour[neighbour.kind][level];
        double gain = cell.variance * neighbour.share / variance;
        cell.mean = std::max(0.0f, cell.mean + static_cast<float>(gain * clipped));
        cell.variance *= static_cast<float>(1.0 - gain * neighbour.share);
        ++cell.samples;
    }
    if (m_options.detectsShifts && victim < m_victims.size())
        noteSurprise(m_victims[victim], level, error, variance, neighbours);
}

void InterferenceModel::noteSurprise(
    Victim& victim, size_t level, double error, double variance, const std::vector<Neighbour>& neighbours)
{
    auto& drift = victim.drifts[level];
    double deviations = std::clamp(error / std::sqrt(variance), -maxSurprise, maxSurprise);
    drift.up = std::max(0.0, drift.up + deviations - toleratedDrift);
    drift.down = std::max(0.0, drift.down - deviations - toleratedDrift);
    if (std::max(drift.up, drift.down) < m_options.shiftBound)
        return;
    // Only the kinds present are opened again; what was learnt about the others stays.
    drift = {};
    ++m_shifts;
    auto prior = static_cast<float>(m_options.priorDeviation * m_options.priorDeviation);
    for (const auto& neighbour : neighbours) {
        if (neighbour.share >= minShare && neighbour.kind < victim.byNeighbour.size())
            victim.byNeighbour[neighbour.kind][level].variance = prior;
    }
}

void InterferenceModel::declareService(KindIndex kind)
{
    if (m_victims.size() <= kind)
        m_victims.resize(kind + 1);
    m_victims[kind].isService = true;
}

SlowdownEstimate InterferenceModel::baseOf(KindIndex victim, size_t level) const
{
    if (victim >= m_victims.size())
        return {};
    return { m_victims[victim].bases[level].mean, 0 };
}

SlowdownEstimate InterferenceModel::pair(KindIndex victim, Neighbour neighbour, double load) const
{
    auto level = m_options.usesLoadLevels ? levelOf(load) : 0;
    if (neighbour.kind == victim)
        return baseOf(victim, level);
    bool isService = neighbour.kind < m_victims.size() && m_victims[neighbour.kind].isService;
    double priorDeviation = isService ? m_options.servicePriorDeviation : m_options.priorDeviation;
    SlowdownEstimate prior { (isService ? m_options.servicePriorMean : m_options.priorMean) * neighbour.share,
        priorDeviation * neighbour.share };
    const auto* levels = levelsOf(victim, neighbour.kind);
    if (!levels)
        return prior;
    const auto& own = (*levels)[level];
    if (own.samples >= m_options.minSamples)
        return { own.mean * neighbour.share, std::sqrt(own.variance) * neighbour.share };
    // Too few reports at this level: the best known other level with half of the prior uncertainty added.
    const Cell* best = &own;
    for (const auto& cell : *levels) {
        if (cell.samples > best->samples)
            best = &cell;
    }
    if (best->samples < m_options.minSamples)
        return prior;
    double deviation = std::sqrt(best->variance) + priorDeviation / 2;
    return { best->mean * neighbour.share, std::min(deviation, priorDeviation) * neighbour.share };
}

size_t InterferenceModel::stateBytes() const
{
    size_t bytes = m_victims.capacity() * sizeof(Victim);
    for (const auto& victim : m_victims)
        bytes += victim.byNeighbour.capacity() * sizeof(Levels);
    return bytes;
}

}
