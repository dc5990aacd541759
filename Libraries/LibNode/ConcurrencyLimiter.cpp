#include <LibNode/ConcurrencyLimiter.h>
#include <utility>

namespace Bergamot {

void ConcurrencyLimiter::enqueue(Send send)
{
    m_queue.push_back(std::move(send));
    sendQueued();
}

void ConcurrencyLimiter::callFinished()
{
    --m_inProgress;
    sendQueued();
}

void ConcurrencyLimiter::sendQueued()
{
    while (m_inProgress < m_maxInProgress && !m_queue.empty()) {
        auto send = std::move(m_queue.front());
        m_queue.pop_front();
        // The call is counted before it is sent, because send() may call callFinished().
        ++m_inProgress;
        if (!send())
            --m_inProgress;
    }
}

}
