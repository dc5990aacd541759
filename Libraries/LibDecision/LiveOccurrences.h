#pragma once

#include <LibDecision/OccurrenceSet.h>
#include <LibDecision/TrackedOccurrence.h>
#include <LibWire/JobSpec.h>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Bergamot {

/// The occurrences of a job, of which only those are held in memory that are due or have progress and have not ended.
/// Their addresses are stable.
class LiveOccurrences {
public:
    using Map = std::map<uint32_t, TrackedOccurrence>;

    LiveOccurrences() = default;

    LiveOccurrences(const JobSpec&, std::vector<TrackedStep> initialSteps);

    /// The steps of occurrences that are built from now on, as passed to the constructor.
    std::vector<TrackedStep>& initialSteps() { return m_initialSteps; }

    /// The occurrence must be held in memory.
    TrackedOccurrence& operator[](uint32_t number) { return m_live.at(number); }
    const TrackedOccurrence& operator[](uint32_t number) const { return m_live.at(number); }

    /// Returns nullptr if the occurrence is not held in memory.
    TrackedOccurrence* find(uint32_t number);
    const TrackedOccurrence* find(uint32_t number) const;

    /// Returns nullptr if the job has no such occurrence, or if it has ended and is not held in memory any more.
    TrackedOccurrence* findOrBuild(uint32_t number);

    /// Returns the next occurrence that is due, has not ended and was not returned before.
    std::optional<uint32_t> takeDue(int64_t unixMs);

    /// Number of occurrences that takeDue() would return, or more if some after the next one have ended already.
    uint32_t countDue(int64_t unixMs) const;

    /// Whether takeDue() may return an occurrence at a later time.
    bool hasFuture() const { return m_ended.firstMissingFrom(m_next) < m_count; }

    /// Its data is kept until free() is called.
    void markEnded(OccurrenceRange);
    void markEnded(uint32_t number) { markEnded({ number, 1 }); }
    bool hasEnded(uint32_t number) const { return m_ended.contains(number); }
    const OccurrenceSet& ended() const { return m_ended; }
    uint32_t remaining() const { return m_count - m_ended.size(); }
    void free(uint32_t number) { m_live.erase(number); }

    /// Number of all occurrences, and of those that are held in memory.
    uint32_t count() const { return m_count; }
    size_t builtCount() const { return m_live.size(); }

    Map::iterator begin() { return m_live.begin(); }
    Map::iterator end() { return m_live.end(); }
    Map::const_iterator begin() const { return m_live.begin(); }
    Map::const_iterator end() const { return m_live.end(); }

private:
    int64_t dueUnixMs(uint32_t number) const { return m_firstDueMs + static_cast<int64_t>(number) * m_intervalMs; }

    Map m_live;
    OccurrenceSet m_ended;
    std::vector<TrackedStep> m_initialSteps;
    uint32_t m_count { 0 };

    /// All occurrences before this one have been returned by takeDue().
    uint32_t m_next { 0 };
    int64_t m_firstDueMs { 0 };
    int64_t m_intervalMs { 0 };
    bool m_isRepeating { false };
};

}
