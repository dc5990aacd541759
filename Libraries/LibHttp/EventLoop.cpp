#include <LibCore/Clock.h>
#include <LibCore/GuardedCall.h>
#include <LibCore/Verify.h>
#include <LibHttp/EventLoop.h>
#include <algorithm>
#include <array>
#include <climits>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace Bergamot {

static constexpr size_t maxEventsPerWait = 64;

std::unique_ptr<EventLoop> EventLoop::create(const Clock& clock)
{
    return std::unique_ptr<EventLoop>(new EventLoop(clock));
}

EventLoop::EventLoop(const Clock& clock)
    : m_clock(clock)
    , m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    VERIFY(m_epoll >= 0 && m_wakeup >= 0);
    epoll_event event { .events = EPOLLIN, .data = { .fd = m_wakeup } };
    VERIFY(epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeup, &event) == 0);
}

EventLoop::~EventLoop()
{
    close(m_wakeup);
    close(m_epoll);
}

Instant EventLoop::now() const { return m_clock.now(); }

void EventLoop::post(Task task)
{
    bool wasEmpty = false;
    {
        std::lock_guard lock(m_mutex);
        wasEmpty = m_posted.empty();
        m_posted.push_back(std::move(task));
    }
    if (!wasEmpty)
        return;
    uint64_t one = 1;
    // The eventfd counter cannot overflow: it is incremented only by the first task of each batch.
    [[maybe_unused]] auto written = write(m_wakeup, &one, sizeof(one));
}

void EventLoop::callAfter(Milliseconds delay, Task task)
{
    m_timers.emplace(std::pair { now() + delay, ++m_lastTimerSequence }, std::move(task));
}

void EventLoop::watch(int descriptor, uint32_t epollEvents, Watcher watcher)
{
    auto [it, inserted] = m_registrations.try_emplace(descriptor);
    auto& registration = it->second;
    registration.watcher = std::make_shared<Watcher>(std::move(watcher));
    if (!inserted && registration.epollEvents == epollEvents)
        return;
    registration.epollEvents = epollEvents;
    epoll_event event { .events = epollEvents, .data = { .fd = descriptor } };
    int operation = inserted ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    if (epoll_ctl(m_epoll, operation, descriptor, &event) == 0)
        return;
    // epoll drops a descriptor that is closed. If its number is reused without unwatch(), it is still in
    // m_registrations but must be added to epoll again.
    epoll_ctl(m_epoll, inserted ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, descriptor, &event);
}

void EventLoop::unwatch(int descriptor)
{
    if (m_registrations.erase(descriptor) > 0)
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
}

void EventLoop::pauseWatch(int descriptor)
{
    if (auto it = m_registrations.find(descriptor); it != m_registrations.end())
        it->second.watcher.reset();
}

template <typename Callable> void EventLoop::runGuarded(Callable&& callable)
{
    if (!guardedCall("task_failed", std::forward<Callable>(callable)))
        ++m_failedTasks;
}

void EventLoop::runPosted()
{
    std::vector<Task> posted;
    {
        std::lock_guard lock(m_mutex);
        posted.swap(m_posted);
    }
    for (auto& task : posted)
        runGuarded(task);
}

void EventLoop::runTimers()
{
    auto time = now();
    while (!m_timers.empty() && m_timers.begin()->first.first <= time) {
        auto node = m_timers.extract(m_timers.begin());
        runGuarded(node.mapped());
    }
}

int EventLoop::millisecondsToNextTimer() const
{
    if (m_timers.empty())
        return -1;
    auto delay = (m_timers.begin()->first.first - now()).count();
    return static_cast<int>(std::clamp<int64_t>(delay, 0, INT_MAX));
}

void EventLoop::dispatchEvents(int waitMs)
{
    std::array<epoll_event, maxEventsPerWait> events {};
    int n = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), waitMs);
    for (int i = 0; i < n; ++i) {
        int descriptor = events[i].data.fd;
        if (descriptor == m_wakeup) {
            uint64_t count = 0;
            [[maybe_unused]] auto size = read(m_wakeup, &count, sizeof(count));
            runPosted();
            continue;
        }
        auto it = m_registrations.find(descriptor);
        if (it == m_registrations.end())
            continue;
        if (!it->second.watcher) {
            unwatch(descriptor);
            continue;
        }
        auto watcher = it->second.watcher;
        runGuarded([&] { (*watcher)(events[i].events); });
    }
}

void EventLoop::run()
{
    m_threadId = std::this_thread::get_id();
    while (!m_stopping) {
        dispatchEvents(millisecondsToNextTimer());
        runTimers();
    }
}

void EventLoop::runReady()
{
    m_threadId = std::this_thread::get_id();
    dispatchEvents(0);
    runTimers();
}

void EventLoop::stop()
{
    m_stopping = true;
    post([] {});
}

}
