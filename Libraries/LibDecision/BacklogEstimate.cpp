#include <LibDecision/BacklogEstimate.h>
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>

namespace Bergamot {

/// A class is backlogged while a task of it has waited for this long.
static constexpr Milliseconds minBackloggedWait { 1500 };

/// The rate is valid once the class has been backlogged for this long.
static constexpr double minObservedMs = 2000;

/// The expected wait is at most this many times the longest wait so far: a low rate may be over in a moment, as after
/// the loss of workers.
static constexpr int64_t maxWaitGrowth = 2;

/// Time constant with which earlier observations of the rate lose weight.
static constexpr double rateMemoryMs = 8000;

void BacklogEstimate::addStartedWork(const Class& key, double coreMs)
{
    if (auto it = m_backlogs.find(key); it != m_backlogs.end())
        it->second.newCoreMs += coreMs;
}

void BacklogEstimate::update(Instant now, const std::map<Class, Demand>& demands)
{
    auto elapsedMs = m_updatedAt == neverInstant ? 0 : static_cast<double>((now - m_updatedAt).count());
    m_updatedAt = now;
    std::erase_if(m_backlogs, [&](const auto& entry) {
        auto it = demands.find(Class(entry.first));
        return it == demands.end() || it->second.longestWait < minBackloggedWait;
    });
    auto weight = std::exp(-elapsedMs / rateMemoryMs);
    for (auto& [key, backlog] : m_backlogs) {
        backlog.startedCoreMs = backlog.startedCoreMs * weight + backlog.newCoreMs;
        backlog.observedMs = backlog.observedMs * weight + elapsedMs;
        backlog.newCoreMs = 0;
    }
    for (const auto& [key, demand] : demands) {
        if (demand.longestWait < minBackloggedWait)
            continue;
        auto it = m_backlogs.find(key);
        if (it == m_backlogs.end())
            it = m_backlogs.emplace(Key(key), Backlog {}).first;
        it->second.demand = demand;
    }
}

Milliseconds BacklogEstimate::expectedWait(const Backlog& backlog)
{
    auto waitMs = backlog.demand.workCoreMs * backlog.observedMs / backlog.startedCoreMs;
    auto maxMs = std::min(maxExpectedWaitMs, maxWaitGrowth * backlog.demand.longestWait.count());
    return Milliseconds { static_cast<int64_t>(std::min(waitMs, static_cast<double>(maxMs))) };
}

std::vector<ExpectedWait> BacklogEstimate::expectedWaits() const
{
    std::vector<ExpectedWait> waits;
    for (const auto& [key, backlog] : m_backlogs) {
        const auto& [service, image] = key;
        // A class of which nothing starts waits for something else than capacity.
        if (backlog.observedMs >= minObservedMs && backlog.startedCoreMs > 0
            && std::max(service.size(), image.size()) <= maxExpectedWaitNameLength)
            waits.push_back({ .service = service, .image = image, .waitMs = expectedWait(backlog).count() });
    }
    std::ranges::stable_sort(waits, std::greater {}, &ExpectedWait::waitMs);
    waits.resize(std::min(waits.size(), maxExpectedWaits));
    return waits;
}

}
