#include <LibStandIn/TimerQueue.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

TimerQueue::TimerQueue()
    : m_thread([this] { run(); })
{
}

TimerQueue::~TimerQueue()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

bool TimerQueue::isLater(const Entry& a, const Entry& b)
{
    return std::pair(a.due, a.sequence) > std::pair(b.due, b.sequence);
}

void TimerQueue::schedule(TimePoint due, Task task)
{
    bool isFirst = false;
    {
        std::lock_guard lock(m_mutex);
        m_heap.push_back({ due, m_sequence++, std::move(task) });
        std::ranges::push_heap(m_heap, isLater);
        isFirst = m_heap.front().sequence == m_sequence - 1;
    }
    if (isFirst)
        m_changed.notify_one();
}

void TimerQueue::scheduleAfter(std::chrono::microseconds delay, Task task)
{
    schedule(std::chrono::steady_clock::now() + delay, std::move(task));
}

void TimerQueue::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_heap.empty()) {
            m_changed.wait(lock);
            continue;
        }
        auto due = m_heap.front().due;
        if (due > std::chrono::steady_clock::now()) {
            m_changed.wait_until(lock, due);
            continue;
        }
        std::ranges::pop_heap(m_heap, isLater);
        auto task = std::move(m_heap.back().task);
        m_heap.pop_back();
        lock.unlock();
        task();
        task = nullptr;
        lock.lock();
    }
}

}
