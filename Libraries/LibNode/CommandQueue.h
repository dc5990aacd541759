#pragma once

#include <LibCore/Time.h>
#include <LibDecision/TaskAction.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <optional>
#include <vector>

namespace Bergamot {

/// The task commands for one worker, which are sent one at a time. Stops precede all other commands: a stop that is
/// late leaves an unwanted run active, and worker and reservation occupied. Starts precede throttles, because callers
/// wait for them, but not those that have waited for `maxThrottleDelay`.
class CommandQueue {
public:
    static constexpr Milliseconds maxThrottleDelay { 500 };

    /// Adds the command, unless one in the queue makes it needless: an equal stop, or for a pace a stop of its run. A
    /// pace replaces an earlier one of its run that waits.
    void push(TaskAction, Instant now = neverInstant);

    bool isEmpty() const { return m_commands.empty(); }
    const TaskAction& front() const { return m_commands.front().action; }

    /// Number of attempts to send the first command that had no effect or no reply.
    uint32_t failuresOfFront() const { return m_commands.front().failures; }

    /// When the first command was added.
    Instant frontQueuedAt() const { return m_commands.front().queuedAt; }

    /// Whether the first command was sent and has no result yet.
    bool isInProgress() const { return m_isInProgress; }
    void beginFront() { m_isInProgress = true; }
    TaskAction takeFront();

    /// Ends the attempt to send the first command, which stays first. Returns the number of its failures.
    uint32_t recordFailure();

    /// Moves the first command, whose attempt has failed, behind all stops.
    void postponeFront();

    /// Moves the throttle at the front, which had no effect, to the end, unless a newer one or a stop of its run waits.
    void repeatThrottleLater(Instant now);

    /// Replaces the start at the front with a stop of its run.
    void stopFrontStart();

    /// Whether a stop of the start's run is in the queue.
    bool hasStopOf(const StartTask&) const;

    bool contains(const StopTask&) const;

    /// Removes the stop. Returns false if it is in progress or not in the queue.
    bool removeWaiting(const StopTask&);

    enum class StartState : uint8_t {
        /// The queue has no start of the run, or the start is in progress and was not removed.
        NotRemoved,
        /// The start was never sent.
        RemovedUnsent,
        /// An attempt to send the start had no reply, so the worker may execute it.
        RemovedUnanswered
    };

    /// Removes the start that the stop cancels.
    StartState removeStartOf(const StopTask&, std::optional<StartTask>& removed);

    /// Removes up to `maxCount` forbidden starts. Returns those that were never sent, and replaces those without a
    /// reply with stops: a worker that has accepted the stop no longer executes the start. A start in progress is kept.
    std::vector<StartTask> removeStarts(
        const std::function<bool(const StartTask&)>& isForbidden, size_t maxCount = std::numeric_limits<size_t>::max());

    /// Stops of all runs that the worker may have started without the leader's knowledge: the starts without a reply,
    /// and the queued stops, each of which may stand for such a start.
    std::vector<StopTask> stopsOfPossibleRuns() const;

    /// Removes all commands but the one in progress.
    void clearWaiting();

private:
    struct Command {
        TaskAction action;
        uint32_t failures { 0 };
        Instant queuedAt { neverInstant };
    };

    std::deque<Command>::iterator firstWaiting();
    void pushStart(TaskAction, Instant now);
    void moveStopsForward();

    std::deque<Command> m_commands;
    bool m_isInProgress { false };
};

}
