#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <map>
#include <set>

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

    /// Processes an announcement that was written after `writtenAfter`; neverInstant if that is unknown.
    void announced(const WorkerId&, Instant writtenAfter);
    void removed(const WorkerId&, Instant now);

    bool contains(const WorkerId& id) const { return m_writtenAfter.contains(id); }

    /// True when the worker is not listed because it has left: it was removed sooner after its last announcement than
    /// silence would explain.
    bool hasLeft(const WorkerId& id) const { return m_left.contains(id); }

    /// Forgets that the worker has left.
    void forget(const WorkerId& id) { m_left.erase(id); }

private:
    Milliseconds m_silenceUntilRemoval;

    /// Lower bounds of the times at which the listed workers wrote their last announcements.
    std::map<WorkerId, Instant> m_writtenAfter;
    std::set<WorkerId> m_left;
};

}
