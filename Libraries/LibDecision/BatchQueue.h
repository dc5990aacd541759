#pragma once

#include <LibCore/Time.h>
#include <LibDecision/SchedulerTypes.h>
#include <compare>
#include <optional>
#include <set>
#include <vector>

namespace Bergamot {

/// Priority queue of the pending jobs, divided into lanes: one lane for urgent jobs, one for services and two for
/// each team, for jobs with and without accelerators.
///
/// Within a lane, jobs are ordered by ascending key. The key is the submission time minus `ageingStep` per priority
/// level, so that a waiting job gains one level over newer jobs per `ageingStep` and no job starves.
class BatchQueue {
public:
    struct Entry {
        int64_t key { 0 };
        JobIndex job { noIndex };

        // clang-tidy 14 mistakes the 0 in the generated comparison for a null pointer.
        auto operator<=>(const Entry&) const = default; // NOLINT(modernize-use-nullptr)
    };
    using Lane = std::set<Entry>;

    static constexpr size_t urgentLane = 0;
    static constexpr size_t serviceLane = 1;
    static size_t laneOfTeam(TeamIndex team, bool needsAccelerators)
    {
        return 2 + 2 * static_cast<size_t>(team) + (needsAccelerators ? 1 : 0);
    }

    /// Waiting time after which a job overtakes newer jobs of the next higher priority level.
    static constexpr Milliseconds ageingStep { 60'000 };

    static int64_t keyOf(Instant submittedAt, int32_t priority);
    /// Key of a job whose latest start is near. Only jobs with an earlier latest start and jobs that have waited
    /// longer than the promotion gains sort before it.
    static int64_t promotedKey(Instant latestStart);

    void insert(size_t lane, Entry);
    void erase(size_t lane, Entry);
    const Lane& lane(size_t index) const;
    size_t laneCount() const { return m_lanes.size(); }
    size_t size() const { return m_size; }

    /// Schedules a re-evaluation of the job at the given time, for a retry or a deadline.
    void addTimer(Instant at, JobIndex);
    std::optional<JobIndex> takeDueTimer(Instant now);
    size_t stateBytes() const;

private:
    struct Timer {
        Instant at {};
        JobIndex job { noIndex };

        auto operator<=>(const Timer&) const = default; // NOLINT(modernize-use-nullptr)
    };

    std::vector<Lane> m_lanes;
    std::set<Timer> m_timers;
    size_t m_size { 0 };
};

}
