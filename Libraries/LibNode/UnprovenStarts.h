#pragma once

#include <LibCore/Time.h>
#include <LibDecision/TaskAction.h>
#include <vector>

namespace Bergamot {

/// The starts sent to one incarnation of a worker that the next one may execute, or may have executed.
class UnprovenStarts {
public:
    /// A call without a reply may be executed this much later.
    static constexpr Milliseconds maxCallDelay { 12'000 };

    /// Adds a start whose acceptance does not name the incarnation.
    void addAccepted(const StartTask&, Instant now);

    /// Adds a start that had no reply. Its repeat may be accepted.
    void addUnanswered(const StartTask&, Instant now);

    /// The incarnation has replied to a request that was sent at this time, so it has executed what was accepted
    /// before.
    void incarnationProven(Instant requestSentAt);

    /// Stops of the runs of these starts.
    std::vector<StopTask> stops(Instant now) const;

private:
    struct Entry {
        StopTask stop {};

        /// When the reply was read, or the call failed.
        Instant endedAt { neverInstant };
    };

    static Entry entryOf(const StartTask&, Instant now);

    std::vector<Entry> m_accepted;
    std::vector<Entry> m_unanswered;
};

}
