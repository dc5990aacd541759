#include <LibCore/Verify.h>
#include <LibHttp/AnswerQueue.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace Bergamot {

AnswerQueue::AnswerQueue()
    : m_wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    VERIFY(m_wakeup >= 0);
}

AnswerQueue::~AnswerQueue() { close(m_wakeup); }

void AnswerQueue::push(Answer answer)
{
    std::scoped_lock lock(m_mutex);
    m_answers.push_back(std::move(answer));
    if (m_answers.size() == 1)
        eventfd_write(m_wakeup, 1);
}

std::vector<AnswerQueue::Answer> AnswerQueue::takeAll()
{
    std::scoped_lock lock(m_mutex);
    eventfd_t count = 0;
    eventfd_read(m_wakeup, &count);
    return std::exchange(m_answers, {});
}

}
