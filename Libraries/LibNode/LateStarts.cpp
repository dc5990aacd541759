#include <LibNode/LateStarts.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

LateStarts::Entry* LateStarts::find(const UnansweredStart& start)
{
    for (auto& list : m_lists) {
        auto it = std::ranges::find(list.entries, start, &Entry::start);
        if (it != list.entries.end())
            return &*it;
    }
    return nullptr;
}

/// Lists that still hold starts are not reused, so that a leader that fails soon has not overwritten those of its
/// predecessor.
LateStarts::List* LateStarts::openList()
{
    if (m_hasOpenList && m_lists.at(m_open).entries.size() < maxStartsOfList)
        return &m_lists.at(m_open);
    for (size_t i = 1; i <= listCount; ++i) {
        auto next = (m_open + i) % listCount;
        if (!m_lists.at(next).entries.empty())
            continue;
        m_open = next;
        m_hasOpenList = true;
        return &m_lists.at(next);
    }
    m_hasOpenList = false;
    return nullptr;
}

void LateStarts::noteTask(const UnansweredStart& start, Instant executedBy)
{
    auto& latest = m_tasks[{ start.job, start.occurrence, start.step, start.index }];
    latest = std::max(latest, executedBy);
}

void LateStarts::forgetTasksBefore(Instant time)
{
    std::erase_if(m_tasks, [time](const auto& it) { return it.second < time; });
}

void LateStarts::add(UnansweredStart start, Instant executedBy)
{
    noteTask(start, executedBy);
    if (auto* known = find(start)) {
        known->executedBy = executedBy;
        return;
    }
    auto* list = openList();
    if (!list)
        return;
    list->entries.push_back({ .start = std::move(start), .executedBy = executedBy });
    list->hasAdditions = true;
}

void LateStarts::restore(size_t list, UnansweredStart start, Instant executedBy)
{
    if (list >= listCount || m_lists.at(list).entries.size() >= maxStartsOfList)
        return;
    noteTask(start, executedBy);
    m_lists.at(list).entries.push_back({ .start = std::move(start), .executedBy = executedBy });
    m_lists.at(list).isStored = true;
}

void LateStarts::forEach(const std::function<void(Entry&)>& visit)
{
    for (auto& list : m_lists)
        std::ranges::for_each(list.entries, visit);
}

void LateStarts::eraseIf(const std::function<bool(const Entry&)>& isErased)
{
    for (auto& list : m_lists)
        std::erase_if(list.entries, isErased);
}

size_t LateStarts::size() const
{
    size_t size = 0;
    for (const auto& list : m_lists)
        size += list.entries.size();
    return size;
}

bool LateStarts::hasFreeList() const
{
    return (m_hasOpenList && m_lists.at(m_open).entries.size() < maxStartsOfList)
        || std::ranges::any_of(m_lists, [](const List& it) { return it.entries.empty(); });
}

bool LateStarts::mayHold(const TaskRef& task) const { return !hasFreeList() || m_tasks.contains(task); }

/// A stored start that is over only holds back its task under the next leader, so its removal waits until the list is
/// empty or gets another start.
bool LateStarts::isDue(Instant now) const
{
    constexpr Milliseconds removalInterval { 1000 };
    if (now < m_nextStoreAt)
        return false;
    bool mayRemove = now - m_storedAt >= removalInterval;
    return std::ranges::any_of(m_lists, [&](const List& it) { return it.hasAdditions || (mayRemove && it.isOver()); });
}

std::map<size_t, UnansweredStarts> LateStarts::collect(Instant now)
{
    constexpr int64_t bytesOfStart { 64 };
    constexpr int64_t bytesOfRecord { 64 };
    constexpr int64_t maxBytesPerSecond { 40'000 };
    constexpr int64_t msPerSecond { 1000 };
    std::map<size_t, UnansweredStarts> stored;
    int64_t bytes = 0;
    for (size_t i = 0; i < listCount; ++i) {
        auto& list = m_lists.at(i);
        if (!list.hasAdditions && !list.isOver())
            continue;
        auto& starts = stored[i].starts;
        for (const auto& it : list.entries)
            starts.push_back(it.start);
        bytes += bytesOfRecord + static_cast<int64_t>(starts.size()) * bytesOfStart;
        list.hasAdditions = false;
        list.isStored = !starts.empty();
    }
    m_storedAt = now;
    m_nextStoreAt = now + Milliseconds { bytes * msPerSecond / maxBytesPerSecond };
    return stored;
}

}
