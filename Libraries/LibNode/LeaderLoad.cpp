#include <LibCore/Logger.h>
#include <LibNode/LeaderLoad.h>
#include <LibNode/OutcomeNames.h>
#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace Bergamot {

static constexpr Milliseconds logInterval { 1000 };

void LeaderLoad::recordStart(bool isSpeculativeCopy)
{
    ++m_starts;
    m_copies += isSpeculativeCopy ? 1 : 0;
}

void LeaderLoad::recordStop(StopReason reason) { ++m_stops[static_cast<size_t>(reason)]; }

void LeaderLoad::recordCommand(Milliseconds queueTime, Milliseconds replyTime, bool timedOut)
{
    ++m_commands;
    m_timeouts += timedOut ? 1 : 0;
    m_longestQueueTime = std::max(m_longestQueueTime, queueTime);
    m_totalQueueTime += queueTime;
    m_longestReplyTime = std::max(m_longestReplyTime, replyTime);
    m_totalReplyTime += replyTime;
}

std::string LeaderLoad::stopsText() const
{
    std::string text;
    for (size_t i = 0; i < m_stops.size(); ++i) {
        if (m_stops[i] > 0)
            fmt::format_to(std::back_inserter(text), "{}{}:{}", text.empty() ? "" : ",",
                nameOf(static_cast<StopReason>(i)), m_stops[i]);
    }
    return text;
}

void LeaderLoad::logIfDue(Instant now)
{
    if (m_loggedAt != neverInstant && now - m_loggedAt < logInterval)
        return;
    auto commands = std::max<uint32_t>(1, m_commands);
    logInfo("leader_load",
        { { "starts", m_starts }, { "copies", m_copies }, { "stops", stopsText() }, { "paces", m_throttles },
            { "reports", m_reports }, { "commands", m_commands }, { "timeouts", m_timeouts },
            { "queue_ms", m_totalQueueTime.count() / commands }, { "queue_max_ms", m_longestQueueTime.count() },
            { "reply_ms", m_totalReplyTime.count() / commands }, { "reply_max_ms", m_longestReplyTime.count() },
            { "timer_delay_max_ms", m_longestTimerDelay.count() } });
    *this = {};
    m_loggedAt = now;
}

}
