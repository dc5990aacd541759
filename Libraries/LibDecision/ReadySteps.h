#pragma once

#include <LibCore/Time.h>
#include <LibDecision/ReadyStep.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace Bergamot {

/// The steps with waiting tasks in the order in which these start: by priority, and the earliest objective first. In
/// overload, the steps of one priority are ordered by outlook before: otherwise only jobs that are late already would
/// start, and each new job would wait until it is late too. A short backlog does not change the order, because
/// estimates are too rough to tell which of its jobs will be late.
class ReadySteps {
public:
    using Order = std::tuple<uint32_t, Outlook, int64_t, uint64_t>;
    using Map = std::map<Order, ReadyStep>;
    using Iterator = Map::iterator;

    void add(const ReadyStep&);

    /// Moves the steps whose outlook has changed. `backlog` is the time in which the workers could do all waiting work.
    void update(int64_t unixMs, Milliseconds backlog);
    bool isOverloaded() const { return m_isOverloaded; }

    /// Returns the next step.
    Iterator erase(Iterator);
    void eraseIf(const std::function<bool(const ReadyStep&)>&);

    Iterator begin() { return m_steps.begin(); }
    Iterator end() { return m_steps.end(); }
    Map::const_iterator begin() const { return m_steps.begin(); }
    Map::const_iterator end() const { return m_steps.end(); }

private:
    using Change = std::pair<int64_t, Order>;
    Order orderOf(const ReadyStep&) const;
    std::optional<Change> changeOf(const Map::value_type&) const;
    void reorder();

    Map m_steps;

    bool m_isOverloaded { false };

    /// When the outlook of steps changes; empty without overload.
    std::set<Change> m_changes;

    /// Unix time of the latest update.
    int64_t m_unixMs { 0 };
};

}
