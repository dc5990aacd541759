#pragma once

#include <LibCore/Time.h>
#include <LibDecision/TaskWorkerView.h>

namespace Bergamot {

/// The crash of a worker.
struct WorkerLoss {
    /// Workers of a rack or zone that were lost within this time of each other may have a common cause.
    static constexpr Milliseconds sharedWindow { 1500 };
    static constexpr Milliseconds memory { 10000 };

    /// The losses of other workers in this time before a crash, and within `maxNoticeDifference` of it, tell how many
    /// workers crash anyhow.
    static constexpr Milliseconds rateWindow { 3000 };

    /// Workers that crash at the same moment are noticed within this time of each other.
    static constexpr Milliseconds maxNoticeDifference { 750 };

    TaskWorkerView view {};
    Instant at { neverInstant };
    Instant removedAt { neverInstant };
    Instant knownSince { neverInstant };
    Instant lastReplyAt { neverInstant };

    /// Whether a run was active that is the likely cause.
    bool hasLikelyCause { false };

    /// Whether its crashes are confirmed or withdrawn.
    bool isJudged { false };
};

}
