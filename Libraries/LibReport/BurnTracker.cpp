#include <LibReport/BurnTracker.h>
#include <algorithm>
#include <fmt/format.h>

namespace Bergamot {

static constexpr int64_t msPerMinute = 60'000;
static constexpr int64_t minutesPerHour = 60;
static constexpr int64_t hoursPerDay = 24;
static constexpr int64_t minutesPerTrendEntry = 5;
static constexpr int64_t minuteRingSize = burnWindowMinutes[static_cast<size_t>(BurnWindow::SixHours)];
static constexpr int64_t hourRingSize
    = burnWindowMinutes[static_cast<size_t>(BurnWindow::TwentyEightDays)] / minutesPerHour;
static_assert(minuteRingSize == int64_t { BurnTrend::recentCount } * minutesPerTrendEntry);
static_assert(hourRingSize == int64_t { BurnTrend::dailyCount } * hoursPerDay);

// Number of series that slice() sums per critical section. Summing all 1024 in one section would block record() calls
// for milliseconds.
static constexpr size_t seriesPerLock = 8;

static int64_t minuteIndexAt(Instant time) { return time.time_since_epoch().count() / msPerMinute; }

BurnTracker::Series::Series()
    : minutes(minuteRingSize)
    , hours(hourRingSize)
{
}

absl::StatusOr<std::unique_ptr<BurnTracker>> BurnTracker::create(
    const BurnTrackerOptions& options, std::vector<BurnObjective> objectives, uint64_t configVersion, Instant now)
{
    if (options.member.empty() || options.maxSeries == 0 || now < epochInstant)
        return absl::InvalidArgumentError(
            "the burn tracker needs a member name, a non-zero series limit and a non-negative time");
    auto tracker = std::unique_ptr<BurnTracker>(new BurnTracker(options, now));
    auto status = tracker->setObjectives(std::move(objectives), configVersion);
    if (!status.ok())
        return status;
    return tracker;
}

absl::Status BurnTracker::setObjectives(std::vector<BurnObjective> objectives, uint64_t configVersion)
{
    if (objectives.size() > maxServices)
        return absl::InvalidArgumentError(fmt::format("more than {} objectives", maxServices));
    std::map<std::string, BurnObjective, std::less<>> byService;
    for (auto& it : objectives) {
        if (!it.isValid())
            return absl::InvalidArgumentError(fmt::format("the objective of service {} is out of range", it.service));
        auto service = it.service;
        if (!byService.emplace(service, std::move(it)).second)
            return absl::InvalidArgumentError(fmt::format("service {} has two objectives", service));
    }
    std::lock_guard lock(m_mutex);
    m_objectives = std::move(byService);
    m_configVersion = configVersion;
    std::erase_if(m_series, [&](const auto& entry) { return !m_objectives.contains(entry.first.service); });
    return absl::OkStatus();
}

void BurnTracker::removeStaleSeries(int64_t hour)
{
    // Limits the cleanup to once per hour, because a full table would otherwise be scanned on each request with a new
    // key.
    if (m_lastCleanupHour == hour)
        return;
    m_lastCleanupHour = hour;
    std::erase_if(m_series, [&](const auto& entry) { return entry.second.hours.newest() <= hour - hourRingSize; });
}

BurnTracker::Series& BurnTracker::findOrCreateSeries(
    std::string_view service, std::string_view client, std::string_view zone, int64_t hour)
{
    if (client.size() > maxNameBytes)
        client = other;
    if (zone.size() > maxNameBytes)
        zone = other;
    if (auto it = m_series.find(KeyView { service, client, zone }); it != m_series.end())
        return it->second;
    if (m_series.size() >= m_options.maxSeries)
        removeStaleSeries(hour);
    // Requests that exceed the limit go to one additional series per service, so the sum over a service stays complete.
    if (m_series.size() >= m_options.maxSeries)
        client = zone = other;
    return m_series[BurnKey { std::string(service), std::string(client), std::string(zone) }];
}

absl::Status BurnTracker::record(std::string_view service, std::string_view client, std::string_view zone,
    bool succeeded, std::chrono::microseconds latency, Instant now)
{
    if (latency.count() < 0 || now < epochInstant)
        return absl::InvalidArgumentError("a latency or time is negative");
    const auto minute = minuteIndexAt(now);
    std::lock_guard lock(m_mutex);
    auto objective = m_objectives.find(service);
    if (objective == m_objectives.end())
        return absl::NotFoundError(fmt::format("service {} has no objective", service));
    const bool good = succeeded && latency <= objective->second.latencyTarget;
    auto& series = findOrCreateSeries(service, client, zone, minute / minutesPerHour);
    if (!series.minutes.add(minute, good))
        return absl::OutOfRangeError("the time is before the oldest retained minute");
    series.hours.add(minute / minutesPerHour, good);
    return absl::OkStatus();
}

// Windows of up to 6 hours are sums of one-minute buckets and longer windows are sums of one-hour buckets. Both include
// the current, incomplete bucket.
WindowCounts BurnTracker::computeWindows(const Series& series, int64_t minute, int64_t hour)
{
    WindowCounts counts;
    for (size_t i = 0; i < burnWindowCount; ++i) {
        const auto minutes = burnWindowMinutes[i];
        counts[i] = minutes <= minuteRingSize ? series.minutes.sum(minute - minutes + 1, minute)
                                              : series.hours.sum(hour - minutes / minutesPerHour + 1, hour);
    }
    return counts;
}

void BurnTracker::addToTrend(BurnTrend& trend, const Series& series, int64_t minute, int64_t hour)
{
    const auto addTo = [](std::vector<BurnCounts>& entries, const BurnRing& ring, int64_t newest, int64_t width) {
        for (size_t i = 0; i < entries.size(); ++i) {
            const auto last = newest - static_cast<int64_t>(entries.size() - 1 - i) * width;
            entries[i] += ring.sum(last - width + 1, last);
        }
    };
    addTo(trend.recent, series.minutes, minute, minutesPerTrendEntry);
    addTo(trend.daily, series.hours, hour, hoursPerDay);
}

BurnSlice BurnTracker::slice(Instant now) const
{
    const auto minute = minuteIndexAt(now);
    const auto hour = minute / minutesPerHour;
    const auto coverageMinutes = std::clamp(minute - minuteIndexAt(m_start), int64_t { 0 }, burnWindowMinutes.back());
    BurnSlice slice { .member = m_options.member, .coverageMinutes = coverageMinutes };
    std::map<std::string, BurnTrend, std::less<>> trends;
    {
        std::lock_guard lock(m_mutex);
        slice.configVersion = m_configVersion;
        for (const auto& [service, objective] : m_objectives) {
            slice.objectives.push_back(objective);
            trends[service] = { .service = service,
                .recent = std::vector<BurnCounts>(BurnTrend::recentCount),
                .daily = std::vector<BurnCounts>(BurnTrend::dailyCount) };
        }
    }
    for (bool hasMore = true; hasMore;) {
        std::lock_guard lock(m_mutex);
        auto it = slice.series.empty() ? m_series.begin() : m_series.upper_bound(slice.series.back().key);
        for (size_t n = 0; n < seriesPerLock && it != m_series.end(); ++n, ++it) {
            const auto& [key, series] = *it;
            slice.series.push_back({ .key = key, .windows = computeWindows(series, minute, hour) });
            if (auto trend = trends.find(key.service); trend != trends.end())
                addToTrend(trend->second, series, minute, hour);
        }
        hasMore = it != m_series.end();
    }
    for (auto& [service, trend] : trends)
        slice.trends.push_back(std::move(trend));
    return slice;
}

}
