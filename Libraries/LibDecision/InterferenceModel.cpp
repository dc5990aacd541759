#include <LibDecision/InterferenceModel.h>
#include <algorithm>
#include <cmath>

namespace Bergamot {

// A neighbour with a smaller share gives no information about the pair and is left out of the update.
static constexpr float minShare = 0.002f;
// Errors are clipped to this many standard deviations, so that one outlier can't move an estimate far.
static constexpr double maxErrorDeviations = 3.0;
// One report adds at most `maxCumulativeStep` standard deviations to a cumulative sum, less an allowance for the
// drift that the model's own errors cause.
static constexpr double maxCumulativeStep = 2.0;
static constexpr double cumulativeErrorAllowance = 0.6;

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
        auto start = estimatePair(victim, { .kind = neighbour, .share = 1.0f },
            level == 0       ? 0.2
                : level == 1 ? 0.6
                             : 0.9);
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

const InterferenceModel::LoadLevelCells* InterferenceModel::cellsOf(KindIndex victim, KindIndex neighbour) const
{
    if (victim >= m_victims.size() || neighbour >= m_victims[victim].byNeighbour.size())
        return nullptr;
    return &m_victims[victim].byNeighbour[neighbour];
}

void InterferenceModel::observe(
    KindIndex victim, const std::vector<Neighbour>& neighbours, double load, double ratio, Instant now)
{
    auto level = m_options.usesLoadLevels ? loadLevelOf(load) : 0;
    if (m_victims.size() <= victim)
        m_victims.resize(victim + 1);
    auto& baseline = m_victims[victim].baselines[level];
    if (baseline.samples == 0)
        baseline.variance = static_cast<float>(m_options.baselineDeviation * m_options.baselineDeviation);
    double predicted = baseline.mean;
    double variance = m_options.reportNoise * m_options.reportNoise * ratio * ratio + baseline.variance;
    for (const auto& neighbour : neighbours) {
        if (neighbour.share < minShare || neighbour.kind == victim)
            continue;
        auto* cell = cellOf(victim, neighbour.kind, level, now);
        predicted += neighbour.share * cell->mean;
        variance += neighbour.share * neighbour.share * cell->variance;
    }
    double error = ratio - 1.0 - predicted;
    double limit = maxErrorDeviations * std::sqrt(variance);
    double clipped = std::clamp(error, -limit, limit);
    double baselineGain = baseline.variance / variance;
    baseline.mean += static_cast<float>(baselineGain * clipped);
    baseline.variance *= static_cast<float>(1.0 - baselineGain);
    ++baseline.samples;
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
        detectShift(m_victims[victim], level, error, variance, neighbours);
}

void InterferenceModel::detectShift(
    Victim& victim, size_t level, double error, double variance, const std::vector<Neighbour>& neighbours)
{
    auto& cumulativeError = victim.cumulativeErrors[level];
    double deviations = std::clamp(error / std::sqrt(variance), -maxCumulativeStep, maxCumulativeStep);
    cumulativeError.up = std::max(0.0, cumulativeError.up + deviations - cumulativeErrorAllowance);
    cumulativeError.down = std::max(0.0, cumulativeError.down - deviations - cumulativeErrorAllowance);
    if (std::max(cumulativeError.up, cumulativeError.down) < m_options.shiftThreshold)
        return;
    // Resets the variance of the kinds on the host only; the estimates of other kinds remain valid.
    cumulativeError = {};
    ++m_shiftCount;
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

SlowdownEstimate InterferenceModel::baselineOf(KindIndex victim, size_t level) const
{
    if (victim >= m_victims.size())
        return {};
    return { m_victims[victim].baselines[level].mean, 0 };
}

SlowdownEstimate InterferenceModel::estimatePair(KindIndex victim, Neighbour neighbour, double load) const
{
    auto level = m_options.usesLoadLevels ? loadLevelOf(load) : 0;
    if (neighbour.kind == victim)
        return baselineOf(victim, level);
    bool isService = neighbour.kind < m_victims.size() && m_victims[neighbour.kind].isService;
    double priorDeviation = isService ? m_options.servicePriorDeviation : m_options.priorDeviation;
    SlowdownEstimate prior { (isService ? m_options.servicePriorMean : m_options.priorMean) * neighbour.share,
        priorDeviation * neighbour.share };
    const auto* cells = cellsOf(victim, neighbour.kind);
    if (!cells)
        return prior;
    const auto& own = (*cells)[level];
    if (own.samples >= m_options.minSamples)
        return { own.mean * neighbour.share, std::sqrt(own.variance) * neighbour.share };
    // If this load level has too few reports, uses the level with the most reports and adds half of the prior
    // deviation.
    const Cell* best = &own;
    for (const auto& cell : *cells) {
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
        bytes += victim.byNeighbour.capacity() * sizeof(LoadLevelCells);
    return bytes;
}

}
