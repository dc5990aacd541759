#pragma once

#include <LibCore/Time.h>
#include <LibDecision/ElectionClaim.h>
#include <LibDecision/LeaderProcess.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace Bergamot {

/// The latest elections that this node has read from the leadership stream without a gap, with local times by which
/// they had taken place. Whatever ended with an election had ended by then. Also tracks which of their leaders are
/// known to have stopped.
class ElectionHistory {
public:
    /// An epoch that is already known keeps its times, its leader and its claim.
    void add(uint64_t epoch, Instant learnedAt, LeaderProcess leader = {}, ElectionClaim claim = {});

    /// Must be called for a record that was read at `readAt` and written at least `age` after the election, by the
    /// clock of another host.
    void electedBefore(uint64_t epoch, Instant readAt, Milliseconds age);

    /// The first epoch from which on each leader, up to the latest one, stores on which worker a long-running task runs
    /// before it starts the task; 1 if no leader has been elected. nullopt if the latest leader does not, or is not
    /// known. A claim states it, so it holds also if the earlier elections are not known to this node.
    std::optional<uint64_t> placementsRecordedSince() const;

    /// Must be called, after clear(), for what the keepalive of a leader states whose election is not known.
    void setPlacementsRecordedSince(uint64_t epoch) { m_placementsRecordedSince = epoch; }

    /// Whether what the leader of `author` has stored about the placement of long-running tasks holds; an `author` of 0
    /// stands for the time before the first election.
    bool arePlacementsRecordedSince(uint64_t author) const;

    /// Must be called when the node may have missed elections.
    void clear();

    /// Epoch of the election directly before that of `epoch`; nullopt if it is unknown.
    std::optional<uint64_t> predecessorOf(uint64_t epoch) const;

    /// Whether each leader elected after `author` and before `epoch` stores which workers it has reached before it
    /// renews their leases, so that what `author` has stored about unreached workers holds until a later record. False
    /// if an election in that range may be unknown.
    bool doLeadersStoreReachedWorkers(uint64_t author, uint64_t epoch) const;

    /// Whether each leader elected after `author` and before `epoch` stores that a task is no longer idle before it
    /// starts the task, so that a task that `author` has stored as idle has no run. False if an election in that range
    /// may be unknown.
    bool doLeadersRecordStartsOfIdleTasks(uint64_t author, uint64_t epoch) const;

    /// Local time by which the first known election with this epoch or a later one had taken place; nullopt if none is
    /// known. A process that has just started reads all elections at once, and places them by the times that their
    /// records state.
    std::optional<Instant> electedBy(uint64_t epoch) const;

    /// The process was running after all elections up to `epoch`.
    void processSeenAfter(uint64_t epoch, const LeaderProcess&);

    /// The process has said that it no longer leads in `epoch`.
    void leaderStopped(uint64_t epoch, const MemberId&, uint64_t incarnation);

    /// Whether the process has led in an epoch of which it is not known that it is over.
    bool mayLeadEarlierProcessOf(const LeaderProcess&) const;

    /// Whether all leaders elected with an epoch from `first` on and before `end` have ended or stopped. False if an
    /// election in that range may be unknown; a `first` of 0 stands for the first election of all.
    bool haveLeadersStopped(uint64_t first, uint64_t end) const;

private:
    bool doLeadersBetween(uint64_t author, uint64_t epoch, bool ElectionClaim::*claim) const;

    static constexpr size_t maxElections { 64 };

    struct Election {
        /// Earliest local time by which records about this election itself show that it had taken place.
        Instant knownBy { neverInstant };
        LeaderProcess leader {};
        ElectionClaim claim {};
        bool hasStopped { false };
    };

    std::map<uint64_t, Election> m_elections;

    /// What the latest leader has stated; 0 if it is unknown or that leader stores no placements.
    uint64_t m_placementsRecordedSince { 0 };

    /// Whether no election before the known ones is unknown.
    bool m_isComplete { true };
};

}
