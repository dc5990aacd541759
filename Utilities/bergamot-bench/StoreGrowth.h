#pragma once

#include "JobRecords.h"
#include <LibCore/Time.h>
#include <PlatformStandIn/LogPartition.h>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>

namespace Bergamot {

/// Models in virtual time how the newest records of jobs fill a store. Jobs arrive at random moments, end after the
/// same time each, and leave their records behind until they are removed.
class StoreGrowth {
public:
    struct Options {
        uint64_t seed { 1 };
        double jobsPerSecond { 1 };

        /// Time from the end of a job to the removal of its records; empty if nothing removes them.
        std::optional<Milliseconds> retention {};
    };

    struct Size {
        uint64_t jobs { 0 };
        uint64_t bytes { 0 };

        bool operator==(const Size&) const = default;
    };

    explicit StoreGrowth(Options);

    /// Runs the model up to this time from its start, and returns what the store holds then.
    Size advanceTo(Milliseconds);

private:
    /// A job whose records are to change next at `at`.
    struct Event {
        Milliseconds at { 0 };
        uint64_t job { 0 };
    };

    Milliseconds nextGap();
    void endJobs(Milliseconds now);
    void removeJobs(Milliseconds now);

    Options m_options;
    JobRecords m_records;
    std::mt19937_64 m_engine;
    LogPartition m_jobs { true };
    LogPartition m_progress { true };
    uint64_t m_acceptedJobs { 0 };
    Milliseconds m_nextArrival { 0 };

    /// In order of time, since all jobs last equally long.
    std::deque<Event> m_ends;
    std::deque<Event> m_removals;
};

}
