#include <LibDecision/TaskTable.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

TaskTable::TaskTable(TrackedTask initial, uint32_t count)
    : m_initial(std::move(initial))
    , m_count(count)
    , m_initialTasks(count)
{
}

TaskTable::TaskTable(const TaskTable& other)
    : m_initial(other.m_initial)
    , m_count(other.m_count)
    , m_initialTasks(other.m_initialTasks)
    , m_releasedTasks(other.m_releasedTasks)
    , m_isReleased(other.m_isReleased)
{
    m_tasks.reserve(other.m_tasks.size());
    for (const auto& task : other.m_tasks)
        m_tasks.push_back(task ? std::make_unique<TrackedTask>(*task) : nullptr);
}

const TrackedTask& TaskTable::releasedTask()
{
    static const TrackedTask task { .done = true };
    return task;
}

size_t TaskTable::sizeInMemory() const
{
    return static_cast<size_t>(std::ranges::count_if(m_tasks, [](const auto& it) { return it != nullptr; }));
}

const TrackedTask& TaskTable::operator[](uint32_t index) const
{
    if (isInMemory(index))
        return *m_tasks[index];
    return isReleased(index) ? releasedTask() : m_initial;
}

TrackedTask& TaskTable::edit(uint32_t index)
{
    m_tasks.resize(std::max<size_t>(m_tasks.size(), m_count));
    auto& task = m_tasks.at(index);
    if (task)
        return *task;
    if (isReleased(index)) {
        m_isReleased[index] = false;
        --m_releasedTasks;
        task = std::make_unique<TrackedTask>(releasedTask());
    } else {
        --m_initialTasks;
        task = std::make_unique<TrackedTask>(m_initial);
    }
    return *task;
}

void TaskTable::markDone(uint32_t index)
{
    if (isInMemory(index)) {
        m_tasks[index]->done = true;
        return;
    }
    if (isReleased(index))
        return;
    m_isReleased.resize(m_count, false);
    m_isReleased[index] = true;
    --m_initialTasks;
    ++m_releasedTasks;
}

void TaskTable::releaseDone(uint32_t index)
{
    if (!isInMemory(index))
        return;
    m_tasks[index].reset();
    m_isReleased.resize(m_count, false);
    m_isReleased[index] = true;
    ++m_releasedTasks;
}

}
