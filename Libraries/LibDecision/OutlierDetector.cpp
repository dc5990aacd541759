#include <LibDecision/OutlierDetector.h>
#include <algorithm>
#include <set>

namespace Bergamot {

namespace {
    constexpr int64_t maxCapacity = int64_t { 1 } << 30;
    constexpr std::chrono::microseconds maxLatency = std::chrono::hours(1);

    int64_t medianOf(std::vector<int64_t> values)
    {
        auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }
}

absl::StatusOr<OutlierDetector> OutlierDetector::create(Options options)
{
    if (options.consecutiveFailures < 1 || options.consecutiveSlowIntervals < 1 || options.minSamples < 1)
        return absl::InvalidArgumentError("outlier detector: a minimum count is below 1");
    if (options.latencyFactorMillis <= 1000)
        return absl::InvalidArgumentError("outlier detector: the latency factor is not above 1000 thousandths");
    if (options.interval <= Milliseconds(0) || options.baseEjectionTime <= Milliseconds(0)
        || options.maxEjectionTime < options.baseEjectionTime || options.maxEjectionTime > std::chrono::hours(24))
        return absl::InvalidArgumentError("outlier detector: a duration is out of range");
    if (options.maxEjectedShareMillis < 0 || options.maxEjectedShareMillis > 1000 || options.maxUtilisationMillis < 1
        || options.maxUtilisationMillis > 1000)
        return absl::InvalidArgumentError("outlier detector: a share is not between 0 and 1000 thousandths");
    auto slowStart = SlowStart::create(options.slowStart);
    if (!slowStart.ok())
        return slowStart.status();
    return OutlierDetector(options, *slowStart);
}

OutlierDetector::OutlierDetector(Options options, SlowStart slowStart)
    : m_options(options)
    , m_slowStart(slowStart)
{
}

absl::Status OutlierDetector::advance(Instant now)
{
    if (now < m_now)
        return absl::InvalidArgumentError("outlier detector: the time is earlier than that of a previous call");
    m_now = now;
    return absl::OkStatus();
}

absl::Status OutlierDetector::setUpstreams(const std::vector<Upstream>& upstreams, Instant now)
{
    std::set<WorkerId> ids;
    for (const auto& upstream : upstreams) {
        if (upstream.id.empty() || !ids.insert(upstream.id).second)
            return absl::InvalidArgumentError("outlier detector: an upstream id is empty or listed twice");
        if (upstream.capacity < 0 || upstream.capacity > maxCapacity)
            return absl::InvalidArgumentError("outlier detector: the capacity of an upstream is out of range");
    }
    if (auto status = advance(now); !status.ok())
        return status;
    std::erase_if(m_states, [&](const auto& entry) { return !ids.contains(entry.first); });
    for (const auto& upstream : upstreams)
        m_states[upstream.id].capacity = upstream.capacity;
    return absl::OkStatus();
}

absl::Status OutlierDetector::recordLoad(int64_t inProgress)
{
    if (inProgress < 0)
        return absl::InvalidArgumentError("outlier detector: the load is negative");
    m_inProgress = std::min(inProgress, maxCapacity);
    return absl::OkStatus();
}

int64_t OutlierDetector::ejected(Instant now) const
{
    return std::count_if(m_states.begin(), m_states.end(),
        [&](const auto& entry) { return entry.second.ejectedUntil && now < *entry.second.ejectedUntil; });
}

bool OutlierDetector::mayEject(const State& candidate, Instant now) const
{
    const auto count = static_cast<int64_t>(m_states.size());
    if (count < 2 || m_options.maxEjectedShareMillis == 0)
        return false;
    const auto maxEjected = std::max<int64_t>(1, count * m_options.maxEjectedShareMillis / 1000);
    if (ejected(now) + 1 > maxEjected)
        return false;
    // The capacity of an upstream in slow start is scaled by its weight.
    int64_t remainingCapacity = 0;
    for (const auto& [id, state] : m_states) {
        if (&state == &candidate || (state.ejectedUntil && now < *state.ejectedUntil))
            continue;
        remainingCapacity += state.ejectedUntil
            ? state.capacity * m_slowStart.weightMillis(now - *state.ejectedUntil) / 1000
            : state.capacity;
    }
    return m_inProgress * 1000 <= remainingCapacity * m_options.maxUtilisationMillis;
}

std::optional<OutlierDetector::Ejection> OutlierDetector::eject(
    const WorkerId& id, State& state, Cause cause, Instant now)
{
    if (state.ejectedUntil && now < *state.ejectedUntil)
        return {};
    if (!mayEject(state, now)) {
        ++m_rejectedEjections;
        return {};
    }
    // A long time without ejections resets the ejection time to its base value, so that old failures do not lengthen
    // the next ejection.
    if (state.ejectedUntil && now - *state.ejectedUntil > m_options.maxEjectionTime)
        state.ejections = 0;
    const auto length = std::min(
        m_options.maxEjectionTime, m_options.baseEjectionTime * (int64_t { 1 } << std::min(state.ejections, 16)));
    ++state.ejections;
    state.consecutiveFailures = 0;
    state.consecutiveSlowIntervals = 0;
    state.samples = 0;
    state.latencySumMicros = 0;
    state.ejectedUntil = now + length;
    return Ejection { .upstream = id, .cause = cause, .until = *state.ejectedUntil };
}

absl::StatusOr<std::optional<OutlierDetector::Ejection>> OutlierDetector::recordSuccess(
    const WorkerId& id, std::chrono::microseconds latency, Instant now)
{
    if (latency < std::chrono::microseconds(0) || latency > maxLatency)
        return absl::InvalidArgumentError("outlier detector: the latency is out of range");
    auto it = m_states.find(id);
    if (it == m_states.end())
        return absl::NotFoundError("outlier detector: unknown upstream");
    if (auto status = advance(now); !status.ok())
        return status;
    it->second.consecutiveFailures = 0;
    ++it->second.samples;
    it->second.latencySumMicros += latency.count();
    return std::optional<Ejection> {};
}

absl::StatusOr<std::optional<OutlierDetector::Ejection>> OutlierDetector::recordFailure(const WorkerId& id, Instant now)
{
    auto it = m_states.find(id);
    if (it == m_states.end())
        return absl::NotFoundError("outlier detector: unknown upstream");
    if (auto status = advance(now); !status.ok())
        return status;
    auto& state = it->second;
    // Failures during an ejection belong to requests that were sent before it, so they are not counted again.
    if (state.ejectedUntil && now < *state.ejectedUntil)
        return std::optional<Ejection> {};
    state.consecutiveFailures = std::min(state.consecutiveFailures + 1, m_options.consecutiveFailures);
    if (state.consecutiveFailures < m_options.consecutiveFailures)
        return std::optional<Ejection> {};
    return eject(id, state, Cause::Failures, now);
}

absl::StatusOr<std::vector<OutlierDetector::Ejection>> OutlierDetector::evaluate(Instant now)
{
    if (auto status = advance(now); !status.ok())
        return status;
    std::vector<Ejection> ejections;
    if (now < m_intervalEnd)
        return ejections;
    m_intervalEnd = now + m_options.interval;
    std::vector<std::pair<WorkerId, int64_t>> means;
    for (const auto& [id, state] : m_states) {
        if (state.samples >= m_options.minSamples)
            means.emplace_back(id, state.latencySumMicros / state.samples);
    }
    for (size_t n = 0; n < means.size() && means.size() >= 3; ++n) {
        std::vector<int64_t> others;
        for (size_t k = 0; k < means.size(); ++k) {
            if (k != n)
                others.push_back(means[k].second);
        }
        auto& state = m_states.at(means[n].first);
        const bool isSlow = means[n].second >= m_options.minLatency.count()
            && means[n].second * 1000 > medianOf(std::move(others)) * m_options.latencyFactorMillis;
        state.consecutiveSlowIntervals
            = isSlow ? std::min(state.consecutiveSlowIntervals + 1, m_options.consecutiveSlowIntervals) : 0;
        if (state.consecutiveSlowIntervals < m_options.consecutiveSlowIntervals)
            continue;
        if (auto ejection = eject(means[n].first, state, Cause::Latency, now))
            ejections.push_back(*ejection);
    }
    for (auto& [id, state] : m_states) {
        state.samples = 0;
        state.latencySumMicros = 0;
    }
    return ejections;
}

absl::StatusOr<int64_t> OutlierDetector::weightMillis(const WorkerId& id, Instant now) const
{
    auto it = m_states.find(id);
    if (it == m_states.end())
        return absl::NotFoundError("outlier detector: unknown upstream");
    if (!it->second.ejectedUntil)
        return 1000;
    if (now < *it->second.ejectedUntil)
        return 0;
    return m_slowStart.weightMillis(now - *it->second.ejectedUntil);
}

}
