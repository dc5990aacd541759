#include <LibDecision/ListedWorkers.h>

namespace Bergamot {

void ListedWorkers::clear() { m_writtenAfter.clear(); }

void ListedWorkers::announced(const WorkerId& id, Instant writtenAfter)
{
    m_writtenAfter[id] = writtenAfter;
    m_left.erase(id);
}

void ListedWorkers::removed(const WorkerId& id, Instant now)
{
    auto it = m_writtenAfter.find(id);
    if (it == m_writtenAfter.end())
        return;
    if (now - it->second < m_silenceUntilRemoval)
        m_left.insert(id);
    m_writtenAfter.erase(it);
}

}
