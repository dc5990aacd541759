#pragma once

#include <LibCore/Time.h>
#include <LibDecision/StopReason.h>
#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace Bergamot {

/// What a leader did since its last line about its load, which shows where its commands wait.
class LeaderLoad {
public:
    void recordStart(bool isSpeculativeCopy);
    void recordStop(StopReason);
    void recordThrottle() { ++m_throttles; }
    void recordReport() { ++m_reports; }

    /// Records a reply of a worker to a command, or its time-out. `queueTime` is the time from the decision until the
    /// command was sent, `replyTime` the time from then on.
    void recordCommand(Milliseconds queueTime, Milliseconds replyTime, bool timedOut);

    /// Records how late the event loop ran a timer.
    void recordTimerDelay(Milliseconds delay) { m_longestTimerDelay = std::max(m_longestTimerDelay, delay); }

    /// Writes a log line and starts the next period, at most once in each interval.
    void logIfDue(Instant now);

private:
    static constexpr size_t stopReasons = static_cast<size_t>(StopReason::StartWithdrawn) + 1;

    std::string stopsText() const;

    Instant m_loggedAt { neverInstant };
    uint32_t m_starts { 0 };
    uint32_t m_copies { 0 };
    std::array<uint32_t, stopReasons> m_stops {};
    uint32_t m_throttles { 0 };
    uint32_t m_reports { 0 };
    uint32_t m_commands { 0 };
    uint32_t m_timeouts { 0 };
    Milliseconds m_longestQueueTime { 0 };
    Milliseconds m_totalQueueTime { 0 };
    Milliseconds m_longestReplyTime { 0 };
    Milliseconds m_totalReplyTime { 0 };
    Milliseconds m_longestTimerDelay { 0 };
};

}
