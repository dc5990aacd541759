#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <map>

namespace Bergamot {

/// The platform's list of workers. The platform removes a worker from it when the worker has left, and also when it has
/// been silent for some time, although it may then run on. This class tells the two apart.
class ListedWorkers {
public:
    /// `silenceUntilRemoval` is the least time of silence after which the platform removes a worker; with 0, no removal
    /// proves a departure.
    explicit ListedWorkers(Milliseconds silenceUntilRemoval)
        : m_silenceUntilRemoval(silenceUntilRemoval)
    {
    }

    /// Must be called before the whole list is read again.
    void clear();

    /// Processes an announcement that was written after `writtenAfter`; neverInstant if that is unknown. `startedAtMs`
    /// is the start time of the incarnation in milliseconds of Unix time.
    void announced(const WorkerId&, int64_t startedAtMs, Instant writtenAfter);
    void removed(const WorkerId&, Instant now);

    bool contains(const WorkerId& id) const { return m_entries.contains(id); }

    /// True when the incarnation is not listed because it has left: it was removed sooner after its last announcement
    /// than silence would explain. A later incarnation may run although an earlier one has left.
    bool hasLeft(const WorkerId& id, int64_t startedAtMs) const
    {
        auto it = m_left.find(id);
        return it != m_left.end() && it->second == startedAtMs;
    }

    /// Forgets that the worker has left.
    void forget(const WorkerId& id) { m_left.erase(id); }

private:
    Milliseconds m_silenceUntilRemoval;

    struct Entry {
        int64_t startedAtMs { 0 };

        /// Lower bound of the time at which the worker wrote its last announcement.
        Instant writtenAfter { neverInstant };
    };

    std::map<WorkerId, Entry> m_entries;

    /// The start times of the incarnations that have left.
    std::map<WorkerId, int64_t> m_left;
};

}
