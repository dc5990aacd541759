#include <LibNode/CommandQueue.h>
#include <algorithm>
#include <iterator>
#include <utility>

namespace Bergamot {

template <typename T, typename Other> static bool isOfRun(const TaskAction& action, const Other& other)
{
    const auto* command = std::get_if<T>(&action);
    return command && command->run == other.run && command->task == other.task;
}

static StopTask stopOf(const StartTask& start)
{
    return { .worker = start.worker, .task = start.task, .run = start.run, .reason = StopReason::StartWithdrawn };
}

std::deque<CommandQueue::Command>::iterator CommandQueue::firstWaiting()
{
    return m_commands.begin() + (m_isInProgress ? 1 : 0);
}

void CommandQueue::moveStopsForward()
{
    std::stable_partition(firstWaiting(), m_commands.end(),
        [](const Command& it) { return std::holds_alternative<StopTask>(it.action); });
}

/// Adds a start before the throttles at the end of the queue that are not due.
void CommandQueue::pushStart(TaskAction action, Instant now)
{
    auto isThrottleNotDue = [&](const Command& it) {
        return std::holds_alternative<ThrottleRun>(it.action) && now - it.queuedAt < maxThrottleDelay;
    };
    auto position = m_commands.end();
    while (position != firstWaiting() && isThrottleNotDue(*std::prev(position)))
        --position;
    m_commands.insert(position, { .action = std::move(action), .queuedAt = now });
}

void CommandQueue::push(TaskAction action, Instant now)
{
    if (std::holds_alternative<StartTask>(action))
        return pushStart(std::move(action), now);
    if (const auto* stop = std::get_if<StopTask>(&action)) {
        if (contains(*stop))
            return;
        m_commands.erase(std::remove_if(firstWaiting(), m_commands.end(),
                             [&](const Command& it) { return isOfRun<ThrottleRun>(it.action, *stop); }),
            m_commands.end());
        m_commands.push_back({ .action = std::move(action), .queuedAt = now });
        return moveStopsForward();
    }
    if (const auto* pace = std::get_if<ThrottleRun>(&action)) {
        if (std::ranges::any_of(m_commands, [&](const Command& it) { return isOfRun<StopTask>(it.action, *pace); }))
            return;
        auto earlier = std::find_if(firstWaiting(), m_commands.end(),
            [&](const Command& it) { return isOfRun<ThrottleRun>(it.action, *pace); });
        if (earlier != m_commands.end()) {
            // The throttle keeps its time, so that newer ones do not delay it for ever.
            *earlier = { .action = std::move(action), .queuedAt = earlier->queuedAt };
            return;
        }
    }
    m_commands.push_back({ .action = std::move(action), .queuedAt = now });
}

TaskAction CommandQueue::takeFront()
{
    m_isInProgress = false;
    auto action = std::move(m_commands.front().action);
    m_commands.pop_front();
    return action;
}

uint32_t CommandQueue::recordFailure()
{
    m_isInProgress = false;
    return ++m_commands.front().failures;
}

void CommandQueue::postponeFront()
{
    auto firstOther = std::find_if(std::next(m_commands.begin()), m_commands.end(),
        [](const Command& it) { return !std::holds_alternative<StopTask>(it.action); });
    std::rotate(m_commands.begin(), std::next(m_commands.begin()), firstOther);
}

void CommandQueue::repeatThrottleLater(Instant now)
{
    auto action = takeFront();
    const auto& throttle = std::get<ThrottleRun>(action);
    bool isReplaced
        = std::ranges::any_of(m_commands, [&](const Command& it) { return isOfRun<ThrottleRun>(it.action, throttle); });
    if (!isReplaced)
        push(std::move(action), now);
}

void CommandQueue::stopFrontStart()
{
    auto& action = m_commands.front().action;
    action = stopOf(std::get<StartTask>(action));
}

bool CommandQueue::hasStopOf(const StartTask& start) const
{
    return std::ranges::any_of(m_commands, [&](const Command& it) { return isOfRun<StopTask>(it.action, start); });
}

bool CommandQueue::contains(const StopTask& stop) const
{
    return std::ranges::any_of(m_commands, [&](const Command& it) { return isOfRun<StopTask>(it.action, stop); });
}

bool CommandQueue::removeWaiting(const StopTask& stop)
{
    auto it = std::find_if(firstWaiting(), m_commands.end(),
        [&](const Command& command) { return isOfRun<StopTask>(command.action, stop); });
    if (it == m_commands.end())
        return false;
    m_commands.erase(it);
    return true;
}

CommandQueue::StartState CommandQueue::removeStartOf(const StopTask& stop, std::optional<StartTask>& removed)
{
    auto it = std::find_if(firstWaiting(), m_commands.end(),
        [&](const Command& command) { return isOfRun<StartTask>(command.action, stop); });
    if (it == m_commands.end())
        return StartState::NotRemoved;
    bool wasSent = it->failures > 0;
    removed = std::get<StartTask>(std::move(it->action));
    m_commands.erase(it);
    return wasSent ? StartState::RemovedUnanswered : StartState::RemovedUnsent;
}

std::vector<StartTask> CommandQueue::removeStarts(
    const std::function<bool(const StartTask&)>& isForbidden, size_t maxCount)
{
    std::vector<StartTask> removed;
    size_t count = 0;
    bool hasNewStops = false;
    for (auto it = firstWaiting(); it != m_commands.end() && count < maxCount;) {
        auto* start = std::get_if<StartTask>(&it->action);
        if (!start || !isForbidden(*start)) {
            ++it;
            continue;
        }
        ++count;
        if (it->failures > 0) {
            it->action = stopOf(*start);
            hasNewStops = true;
            ++it;
        } else {
            removed.push_back(std::move(*start));
            it = m_commands.erase(it);
        }
    }
    if (hasNewStops)
        moveStopsForward();
    return removed;
}

std::vector<StopTask> CommandQueue::stopsOfPossibleRuns() const
{
    std::vector<StopTask> stops;
    for (const auto& it : m_commands) {
        bool wasSent = it.failures > 0 || (m_isInProgress && &it == &m_commands.front());
        if (const auto* stop = std::get_if<StopTask>(&it.action))
            stops.push_back(*stop);
        else if (const auto* start = std::get_if<StartTask>(&it.action); start && wasSent && !hasStopOf(*start))
            stops.push_back(stopOf(*start));
    }
    return stops;
}

void CommandQueue::clearWaiting() { m_commands.erase(firstWaiting(), m_commands.end()); }

}
