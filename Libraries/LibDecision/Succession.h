#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <cstddef>
#include <cstdint>
#include <map>

namespace Bergamot {

/// Decides how long a process holds back its claim of leadership in favour of better candidates, and whether a leader
/// that ends soon has a successor. Processes that do not drain come before those that do, hosts with more CPU before
/// small ones, and the process that has started last before the others: in a series of restarts it is not restarted
/// again. The delays only avoid changes of leader. That no two processes lead is guaranteed by the store.
class Succession {
public:
    struct Options {
        MemberId member {};
        uint64_t incarnation { 0 };
        int64_t cpuMillis { 0 };
    };

    /// What a process has announced about itself.
    struct Candidate {
        uint64_t incarnation { 0 };
        int64_t cpuMillis { 0 };

        /// The process has been asked to end.
        bool drains { false };
    };

    /// Largest result of claimDelay() for a process that does not drain.
    static constexpr Milliseconds maxClaimDelay { 600 };

    explicit Succession(Options);

    /// Must be called for each announcement in the order of the stream. A process that drains does so until its end.
    void candidateSeen(const MemberId&, const Candidate&);

    /// Must be called when no candidate that goes on has claimed, although it should have. The known ones are taken as
    /// ended until they announce themselves again.
    void candidatesMissedElection();

    /// Whether a process other than this one can be expected to claim and to go on.
    bool hasSuccessor() const;

    /// Delay of this process's claim after that of the best candidate, when the process `formerLeader` leads no longer.
    Milliseconds claimDelay(uint64_t formerLeader, bool drains) const;

private:
    static constexpr size_t maxCandidates { 1024 };

    struct Entry {
        Candidate candidate {};
        uint64_t startOrder { 0 };

        /// The process before this one on its host: announcements of it may be stored late.
        uint64_t formerIncarnation { 0 };
        bool hasMissedElection { false };
    };

    bool isLasting(const Entry&) const;
    bool hasLastingCandidateBeside(uint64_t incarnation) const;
    bool hasEnoughCpu(int64_t cpuMillis) const;
    bool hasStartedLast(uint64_t formerLeader) const;
    void removeOldest();

    Options m_options;
    std::map<MemberId, Entry> m_entries;
    uint64_t m_starts { 0 };
    int64_t m_maxCpuMillis { 0 };
};

}
