#pragma once

#include <LibCore/Time.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Bergamot {

class Clock;

/// Runs tasks, timers and file descriptor callbacks on the one thread that calls run(), by epoll.
class EventLoop {
public:
    using Task = std::function<void()>;
    using Watcher = std::function<void(uint32_t epollEvents)>;

    /// `clock` must outlive the loop.
    static std::unique_ptr<EventLoop> create(const Clock&);
    ~EventLoop();

    /// Runs the task on the loop's thread. May be called from any thread.
    void post(Task);

    /// Runs the task after the delay. Only on the loop's thread, or before run().
    void callAfter(Milliseconds, Task);

    /// Calls the watcher on these epoll events until unwatch(). Only on the loop's thread, or before run().
    void watch(int descriptor, uint32_t epollEvents, Watcher);
    void unwatch(int descriptor);

    /// Calls the watcher no more, but keeps the descriptor registered, so that the next watch() of the same events
    /// costs no system call. An event that arrives meanwhile ends the registration. The owner must call unwatch()
    /// before it closes the descriptor.
    void pauseWatch(int descriptor);

    bool isLoopThread() const { return std::this_thread::get_id() == m_threadId.load(); }
    Instant now() const;

    /// Serves events until stop().
    void run();

    /// Serves what is ready now, without waiting; for tests with a manual clock.
    void runReady();

    /// May be called from any thread.
    void stop();

private:
    explicit EventLoop(const Clock&);
    void runPosted();
    void serveDescriptors(int waitMs);
    void runTimers();
    int millisecondsToNextTimer() const;

    const Clock& m_clock;
    int m_epoll { -1 };
    int m_wakeup { -1 };
    std::atomic<std::thread::id> m_threadId {};
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::vector<Task> m_posted;
    uint64_t m_timerSequence { 0 };
    std::map<std::pair<Instant, uint64_t>, Task> m_timers;
    struct Registration {
        /// Empty while the watch is paused.
        std::shared_ptr<Watcher> watcher;
        uint32_t epollEvents { 0 };
    };
    std::unordered_map<int, Registration> m_registrations;
};

}
