#include <LibCore/Mailbox.h>
#include <utility>

namespace Bergamot {

void Mailbox::post(Task task)
{
    {
        std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(task));
    }
    m_ready.notify_one();
}

std::deque<Mailbox::Task> Mailbox::waitAndTake(Milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    m_ready.wait_for(lock, timeout, [this] { return !m_tasks.empty(); });
    return std::exchange(m_tasks, {});
}

}
