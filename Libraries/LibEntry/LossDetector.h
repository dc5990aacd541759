#pragma once

#include <LibEntry/Dispatcher.h>
#include <LibEntry/LogStream.h>
#include <LibEntry/Membership.h>
#include <map>
#include <set>
#include <string>

namespace Bergamot {

/// Leader only: revokes attempts on workers that do not answer, and declares a revoked attempt lost once its lease has
/// surely lapsed (section D7 of the design page).
class LossDetector {
public:
    LossDetector(LogStream& region, Membership& membership, const Dispatcher& dispatcher)
        : m_region(region)
        , m_membership(membership)
        , m_dispatcher(dispatcher)
    {
    }

    void tick(Instant now);

    /// Kinds whose jobs must not take effect twice. A cut-off worker may have completed such an attempt unheard, so it
    /// is declared lost only when the host list no longer names the worker.
    void setSingleRunKinds(std::set<std::string> kinds) { m_singleRunKinds = std::move(kinds); }

    /// Forgets all waits; called when the leader epoch is won, since waits of another epoch count for nothing.
    void reset() { m_waits.clear(); }

private:
    struct Wait {
        LogPosition revokedAt { 0 };
        Instant since { neverInstant };
        Instant confirmedAt { neverInstant };
        bool submitted { false };
    };

    std::set<WorkerId> suspects(Instant now) const;
    void revokeOnSuspects(Instant now);
    void watchRevoked(const JobState&, Instant now);

    LogStream& m_region;
    Membership& m_membership;
    const Dispatcher& m_dispatcher;
    std::map<TaskId, Wait> m_waits;
    std::set<std::string> m_singleRunKinds;
    Instant m_nextRevoke { neverInstant };
};

}
