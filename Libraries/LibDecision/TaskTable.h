#pragma once

#include <LibDecision/TrackedTask.h>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace Bergamot {

/// The tasks of a step. Only those with a state of their own are held in memory: a task that was never placed has the
/// initial state of the step, and of one that is done and has no run only that is kept. So the memory of a step follows
/// the tasks that run, not those that wait. The addresses of tasks in memory are stable.
class TaskTable {
public:
    TaskTable() = default;
    TaskTable(TrackedTask initial, uint32_t count);
    TaskTable(const TaskTable&);
    TaskTable(TaskTable&&) noexcept = default;
    TaskTable& operator=(const TaskTable&) = delete;
    TaskTable& operator=(TaskTable&&) noexcept = default;
    ~TaskTable() = default;

    uint32_t size() const { return m_count; }

    /// Number of tasks that are held in memory.
    size_t sizeInMemory() const;

    /// The state of the task, which may be shared with other tasks.
    const TrackedTask& operator[](uint32_t index) const;

    /// The state of the task for changes. Holds it in memory from now on.
    TrackedTask& edit(uint32_t index);

    bool isInMemory(uint32_t index) const { return index < m_tasks.size() && m_tasks[index]; }

    /// The state of the tasks that were never placed.
    TrackedTask& initial() { return m_initial; }

    void markDone(uint32_t index);

    /// Keeps only that the task is done. It must be done and have no run.
    void releaseDone(uint32_t index);

    /// Whether the predicate holds for one of the tasks.
    template <typename Predicate> bool anyOf(Predicate predicate) const
    {
        for (const auto& task : m_tasks) {
            if (task && predicate(*task))
                return true;
        }
        return (m_initialTasks > 0 && predicate(m_initial)) || (m_releasedTasks > 0 && predicate(releasedTask()));
    }

    /// Calls visit(index, task) for the tasks in memory, in the order of their indices.
    template <typename Visitor> void forEachInMemory(Visitor visit)
    {
        for (uint32_t i = 0; i < m_tasks.size(); ++i) {
            if (m_tasks[i])
                visit(i, *m_tasks[i]);
        }
    }

    template <typename Visitor> void forEachInMemory(Visitor visit) const
    {
        for (uint32_t i = 0; i < m_tasks.size(); ++i) {
            if (m_tasks[i])
                visit(i, std::as_const(*m_tasks[i]));
        }
    }

private:
    static const TrackedTask& releasedTask();
    bool isReleased(uint32_t index) const { return index < m_isReleased.size() && m_isReleased[index]; }

    TrackedTask m_initial {};
    uint32_t m_count { 0 };

    /// Numbers of tasks that are not in memory, by what is known of them.
    uint32_t m_initialTasks { 0 };
    uint32_t m_releasedTasks { 0 };

    /// By index; empty until a task is held in memory or is done.
    std::vector<std::unique_ptr<TrackedTask>> m_tasks;
    std::vector<bool> m_isReleased;
};

}
