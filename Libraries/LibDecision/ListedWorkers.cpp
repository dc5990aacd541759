#include <LibDecision/ListedWorkers.h>

namespace Bergamot {

void ListedWorkers::clear() { m_entries.clear(); }

void ListedWorkers::announced(const WorkerId& id, int64_t startedAtMs, Instant writtenAfter)
{
    m_entries[id] = { .startedAtMs = startedAtMs, .writtenAfter = writtenAfter };
    m_left.erase(id);
}

void ListedWorkers::removed(const WorkerId& id, Instant now)
{
    auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    if (now - it->second.writtenAfter < m_silenceUntilRemoval)
        m_left[id] = it->second.startedAtMs;
    m_entries.erase(it);
}

}
