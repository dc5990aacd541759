#include <LibNode/CallWindow.h>
#include <utility>

namespace Bergamot {

void CallWindow::request(Send send)
{
    m_waiting.push_back(std::move(send));
    sendWaiting();
}

void CallWindow::ended()
{
    --m_inProgress;
    sendWaiting();
}

void CallWindow::sendWaiting()
{
    while (m_inProgress < m_size && !m_waiting.empty()) {
        auto send = std::move(m_waiting.front());
        m_waiting.pop_front();
        // Counted before, because a call may end while it is being sent.
        ++m_inProgress;
        if (!send())
            --m_inProgress;
    }
}

}
