#include <LibCore/Verify.h>
#include <LibHttp/ResponseQueue.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace Bergamot {

ResponseQueue::ResponseQueue()
    : m_wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    VERIFY(m_wakeup >= 0);
}

ResponseQueue::~ResponseQueue() { close(m_wakeup); }

void ResponseQueue::push(Entry entry)
{
    std::scoped_lock lock(m_mutex);
    m_entries.push_back(std::move(entry));
    if (m_entries.size() == 1)
        eventfd_write(m_wakeup, 1);
}

void ResponseQueue::wake() { eventfd_write(m_wakeup, 1); }

std::vector<ResponseQueue::Entry> ResponseQueue::takeAll()
{
    std::scoped_lock lock(m_mutex);
    eventfd_t count = 0;
    eventfd_read(m_wakeup, &count);
    return std::exchange(m_entries, {});
}

}
