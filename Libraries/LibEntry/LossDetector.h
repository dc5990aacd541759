#pragma once

#include <LibEntry/Dispatcher.h>
#include <LibEntry/LogStream.h>
#include <LibEntry/Membership.h>
#include <map>
#include <set>
#include <string>

namespace Bergamot {

/// Runs on the leader only. Revokes attempts on unreachable workers, and declares a revoked attempt lost once its lease
/// can no longer be valid (section D7 of the design page).
class LossDetector {
public:
    LossDetector(LogStream& region, Membership& membership, const Dispatcher& dispatcher)
        : m_region(region)
        , m_membership(membership)
        , m_dispatcher(dispatcher)
    {
    }

    void tick(Instant now);

    /// Sets the kinds whose jobs must not take effect twice. An unreachable worker may have completed such an attempt
    /// without being able to report it, so the attempt is declared lost only when the worker is no longer in the host
    /// list.
    void setSingleRunKinds(std::set<std::string> kinds) { m_singleRunKinds = std::move(kinds); }

    /// Clears all pending losses. Called when this process becomes leader, because waits from an earlier epoch
    /// are not valid in the new one.
    void reset() { m_pendingLosses.clear(); }

private:
    struct PendingLoss {
        LogPosition positionAfterRevocation { 0 };
        Instant waitStartedAt { neverInstant };
        Instant majorityReadAt { neverInstant };
        bool isSubmitted { false };
    };

    std::set<WorkerId> findSuspectedWorkers(Instant now) const;
    void revokeOnSuspectedWorkers(Instant now);
    void checkRevokedAttempt(const JobState&, Instant now);

    LogStream& m_region;
    Membership& m_membership;
    const Dispatcher& m_dispatcher;
    std::map<TaskId, PendingLoss> m_pendingLosses;
    std::set<std::string> m_singleRunKinds;
    Instant m_nextRevocation { neverInstant };
};

}
