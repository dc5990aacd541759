#pragma once

#include <LibCore/Clock.h>
#include <functional>
#include <map>
#include <utility>

namespace Bergamot {

/// Virtual clock that runs scheduled tasks in a deterministic order: by due time, then by order of scheduling.
class EventQueue final : public Clock {
public:
    Instant now() const override { return m_now; }

    void scheduleAfter(Milliseconds delay, std::function<void()> task)
    {
        m_tasks.emplace(std::pair(m_now + delay, m_sequence++), std::move(task));
    }

    void advanceTo(Instant target)
    {
        while (!m_tasks.empty() && m_tasks.begin()->first.first <= target) {
            auto node = m_tasks.extract(m_tasks.begin());
            m_now = std::max(m_now, node.key().first);
            node.mapped()();
        }
        m_now = target;
    }

private:
    Instant m_now { Milliseconds { 1'000'000 } };
    uint64_t m_sequence { 0 };
    std::map<std::pair<Instant, uint64_t>, std::function<void()>> m_tasks;
};

}
