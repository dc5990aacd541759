#include "StoreGrowth.h"
#include <cmath>

namespace Bergamot {

static constexpr Milliseconds jobDuration { 10'000 };

/// Arrivals between two deletions of the history, which does not count.
static constexpr uint64_t trimInterval = 1000;

StoreGrowth::StoreGrowth(Options options)
    : m_options(options)
    , m_records(options.seed)
    , m_engine(options.seed)
{
    m_nextArrival = nextGap();
}

/// Exponentially distributed, so that arrivals are independent of each other.
Milliseconds StoreGrowth::nextGap()
{
    auto share = (static_cast<double>(m_engine() >> 11) + 1) * 0x1p-53;
    return Milliseconds { std::llround(-std::log(share) * 1000 / m_options.jobsPerSecond) };
}

StoreGrowth::Size StoreGrowth::advanceTo(Milliseconds time)
{
    while (m_nextArrival <= time) {
        auto now = m_nextArrival;
        endJobs(now);
        removeJobs(now);
        auto record = m_records.endedJob(m_acceptedJobs);
        m_jobs.put(record.key, record.value);
        m_ends.push_back({ .at = now + jobDuration, .job = m_acceptedJobs++ });
        m_nextArrival = now + nextGap();
        if (m_acceptedJobs % trimInterval == 0) {
            m_jobs.trim(0);
            m_progress.trim(0);
        }
    }
    endJobs(time);
    removeJobs(time);
    return { .jobs = m_jobs.newestRecords().size(), .bytes = m_jobs.newestBytes() + m_progress.newestBytes() };
}

void StoreGrowth::endJobs(Milliseconds now)
{
    for (; !m_ends.empty() && m_ends.front().at <= now; m_ends.pop_front()) {
        auto event = m_ends.front();
        auto record = m_records.end(event.job);
        m_progress.put(record.key, record.value);
        if (m_options.retention)
            m_removals.push_back({ .at = event.at + *m_options.retention, .job = event.job });
    }
}

void StoreGrowth::removeJobs(Milliseconds now)
{
    for (; !m_removals.empty() && m_removals.front().at <= now; m_removals.pop_front()) {
        auto job = m_removals.front().job;
        m_jobs.put(m_records.endedJob(job).key, {});
        m_progress.put(m_records.end(job).key, {});
    }
}

}
