#include <LibStandIn/JobMix.h>
#include <array>
#include <cmath>
#include <utility>

namespace Bergamot {

static constexpr int64_t oversizeCpuMillis = 10'000'000;
static constexpr double runTimeSigma = 0.6;
static constexpr int64_t memoryMbPerCore = 2000;

JobMix::JobMix(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
}

bool JobMix::drawBool(double probability) { return std::uniform_real_distribution<>(0, 1)(m_random) < probability; }

JobMix::Job JobMix::next()
{
    static constexpr std::array<int64_t, 6> cores { 1, 1, 2, 2, 4, 8 };
    Job job;
    auto pick = [this](size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(m_random); };
    job.kind = m_options.kinds.at(pick(m_options.kinds.size()));
    auto count = cores.at(pick(cores.size()));
    job.size = { count * 1000, count * memoryMbPerCore, 0 };
    if (drawBool(m_options.oversizeShare))
        job.size.cpuMillis = oversizeCpuMillis;
    job.runMs = static_cast<int64_t>(
        std::lognormal_distribution<>(std::log(std::max(m_options.medianRunMs, 1.0)), runTimeSigma)(m_random));
    job.isUrgent = drawBool(m_options.urgentShare);
    if (drawBool(m_options.cancelShare))
        job.cancelAfterMs = std::uniform_int_distribution<int64_t>(0, job.runMs)(m_random);
    return job;
}

}
