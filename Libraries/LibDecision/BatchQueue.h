#pragma once

#include <LibCore/Time.h>
#include <LibDecision/SchedulerTypes.h>
#include <compare>
#include <optional>
#include <set>
#include <vector>

namespace Bergamot {

/// Pending jobs in lanes: one for urgent jobs, one for services and two for each team, with and without accelerators.
///
/// Within a lane the smallest key comes first. The key is the submission time minus a fixed time per level of
/// priority, so that a waiting job gains a level in that time against newer ones and nothing starves.
class BatchQueue {
public:
    struct Entry {
        int64_t key { 0 };
        JobIndex job { noIndex };

        // clang-tidy 14 takes the generated comparison with 0 for a pointer.
        auto operator<=>(const Entry&) const = default; // NOLINT(modernize-use-nullptr)
    };
    using Lane = std::set<Entry>;

    static constexpr size_t urgentLane = 0;
    static constexpr size_t serviceLane = 1;
    static size_t laneOfTeam(TeamIndex team, bool needsAccelerators)
    {
        return 2 + 2 * static_cast<size_t>(team) + (needsAccelerators ? 1 : 0);
    }

    /// A waiting job overtakes newer jobs that are one level of priority higher after this time.
    static constexpr Milliseconds ageingStep { 60'000 };

    static int64_t keyOf(Instant submittedAt, int32_t priority);
    /// Key of a job whose latest start is near: it comes before everything except earlier deadlines and jobs that have
    /// waited longer than the promotion is worth.
    static int64_t promotedKey(Instant latestStart);

    void insert(size_t lane, Entry);
    void erase(size_t lane, Entry);
    const Lane& lane(size_t index) const;
    size_t laneCount() const { return m_lanes.size(); }
    size_t size() const { return m_size; }

    /// Calls back for a job at a later time; used for retries and for deadlines.
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
