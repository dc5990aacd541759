#include <LibHttp/ResponseQueue.h>
#include <LibHttp/SharedServerState.h>

namespace Bergamot {

void SharedServerState::stopReading()
{
    isReadingStopped = true;
    std::lock_guard lock(m_mutex);
    for (const auto& it : m_responseQueues) {
        if (auto queue = it.lock())
            queue->wake();
    }
}

}
