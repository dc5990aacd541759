#pragma once

#include <LibCore/Time.h>
#include <LibDecision/TaskRef.h>
#include <LibWire/UnansweredStarts.h>
#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <vector>

namespace Bergamot {

/// The starts without a reply, of this leader and of earlier ones, that a later incarnation of their worker may still
/// execute. They are stored for the next leader in a fixed number of short lists, of which only those that have changed
/// are written, with a bound on the bytes a second.
class LateStarts {
public:
    static constexpr size_t listCount { 32 };
    static constexpr size_t maxStartsOfList { 64 };

    struct Entry {
        UnansweredStart start {};

        /// Local time by which the start has been executed if it ever is.
        Instant executedBy { neverInstant };

        /// Whether a later incarnation of the worker is known that has not replied to this leader, and so may execute
        /// the start or may have executed it.
        bool hasUnreachedSuccessor { false };
    };

    /// Adds the start, or sets the time of one that is known. Without a free list the start is not kept.
    void add(UnansweredStart, Instant executedBy);

    /// Adds a start that an earlier leader has stored in this list.
    void restore(size_t list, UnansweredStart, Instant executedBy);
    void forEach(const std::function<void(Entry&)>&);
    void eraseIf(const std::function<bool(const Entry&)>&);
    size_t size() const;

    /// Forgets tasks of whose starts none has been executed later than this local time.
    void forgetTasksBefore(Instant);

    /// Whether a start of the task has been added that may be executed, or may have been since the time of
    /// forgetTasksBefore(). True for each task while starts do not find a list.
    bool mayHold(const TaskRef&) const;

    /// Whether lists are to be stored now.
    bool isDue(Instant now) const;

    /// Returns the lists to store.
    std::map<size_t, UnansweredStarts> collect(Instant now);

private:
    struct List {
        std::vector<Entry> entries {};
        bool hasAdditions { false };

        /// The stored list is not empty.
        bool isStored { false };

        bool isOver() const { return entries.empty() && isStored; }
    };

    Entry* find(const UnansweredStart&);
    bool hasFreeList() const;
    List* openList();

    void noteTask(const UnansweredStart&, Instant executedBy);

    std::array<List, listCount> m_lists;

    /// Local time by which the last start of the task has been executed, also of starts that found no list.
    std::map<TaskRef, Instant> m_tasks;

    /// The list that takes new starts, if there is one. It holds none of an earlier leader.
    size_t m_open { 0 };
    bool m_hasOpenList { false };
    Instant m_storedAt { neverInstant };

    /// Time before which no further list may be stored.
    Instant m_nextStoreAt { neverInstant };
};

}
