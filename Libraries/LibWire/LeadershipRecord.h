#pragma once

#include <LibCore/Ids.h>
#include <LibWire/ExpectedWait.h>
#include <absl/status/status.h>
#include <cstdint>
#include <limits>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Bergamot {

/// `epoch` of a candidacy: a record by which a node only announces that it is eligible for election. Older versions
/// without this value treat the record as a keepalive of another epoch and ignore it.
inline constexpr uint64_t candidacyEpoch = std::numeric_limits<uint64_t>::max();

/// Limit of LeadershipRecord::cpuMillis.
inline constexpr int64_t maxCandidateCpuMillis = int64_t { 1 } << 30;

/// Limit of LeadershipRecord::electionAgeMs.
inline constexpr int64_t maxElectionAgeMs = int64_t { 1 } << 40;

/// Limit of LeadershipRecord::leaderSilentMs.
inline constexpr int64_t maxLeaderSilentMs = int64_t { 1 } << 40;

/// A record of the leadership stream. The epoch of a claim is its offset plus one, so epochs increase without being
/// stored.
struct LeadershipRecord {
    MemberId member {};

    /// Random number drawn by each process at start, so that a process recognises its own claim when the reply to its
    /// append was lost.
    uint64_t incarnation { 0 };
    std::string peerAddress {};

    /// The epoch of the leader for a keepalive or a resignation; 0 for a claim; candidacyEpoch for a candidacy.
    uint64_t epoch { 0 };
    bool resigns { false };

    /// Processor capacity of the author in thousandths of a core, in claims and candidacies; 0 when it is unknown.
    int64_t cpuMillis { 0 };

    /// In candidacies: offset up to which the author has read the stream. A process at the same address that led before
    /// that offset has ended. 0 if the author has read nothing.
    uint64_t readUpTo { 0 };

    /// The author no longer leads in `epoch`, and renews no lease. Such a record has no address, because older versions
    /// would take it for a keepalive.
    bool hasStopped { false };

    /// In keepalives, the time since the election of the author; in claims, the time since the election directly
    /// before. A lower bound by the author's clock, since it learns of an election after it; 0 when it is unknown.
    int64_t electionAgeMs { 0 };

    /// In claims: the author stores which workers it has reached before it renews their leases.
    bool storesReachedWorkers { false };

    /// In claims: the author stores that a task is no longer idle before it starts the task (JobProgress::idleTasks).
    bool recordsStartsOfIdleTasks { false };

    /// In claims and keepalives: each leader from this epoch on, up to the author, stores on which worker a
    /// long-running task runs before it starts the task (JobProgress::placedTasks). 1 stands for all leaders; 0 in
    /// records of versions without this field, which do not store it.
    uint64_t placementsRecordedSince { 0 };

    /// In claims and candidacies: the author has been asked to end, and leads only while no other process can.
    bool drains { false };

    /// In candidacies, the time for which the author has read no record of a leader, when it had read up to `readUpTo`;
    /// 0 when it is unknown. So a process that starts later counts the silence that earlier ones have seen.
    int64_t leaderSilentMs { 0 };

    /// In keepalives: the classes of best-effort tasks that wait now, the longest waits first.
    std::vector<ExpectedWait> expectedWaits {};

    /// Returns InvalidArgument when the processor capacity, a time, or the number or a name of the expected waits is
    /// out of range.
    absl::Status check() const;

    bool operator==(const LeadershipRecord&) const = default;
    MSGPACK_DEFINE_ARRAY(member, incarnation, peerAddress, epoch, resigns, cpuMillis, readUpTo, hasStopped,
        electionAgeMs, storesReachedWorkers, recordsStartsOfIdleTasks, placementsRecordedSince, drains, leaderSilentMs,
        expectedWaits)
};

}
