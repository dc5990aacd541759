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

/// Runs tasks, timers and file descriptor callbacks on the thread that calls run(). Based on epoll. An exception ends
/// the task, timer or callback that throws it; it is logged and counted, and the later ones run.
class EventLoop {
public:
    using Task = std::function<void()>;
    using Watcher = std::function<void(uint32_t epollEvents)>;

    /// `clock` must outlive the loop.
    static std::unique_ptr<EventLoop> create(const Clock&);
    ~EventLoop();

    /// Queues the task for the loop's thread. May be called from any thread.
    void post(Task);

    /// Runs the task once after the delay. Must be called on the loop's thread or before run().
    void callAfter(Milliseconds, Task);

    /// Calls the watcher on these epoll events until unwatch(). Must be called on the loop's thread or before run().
    void watch(int descriptor, uint32_t epollEvents, Watcher);
    void unwatch(int descriptor);

    /// Stops calling the watcher but keeps the descriptor registered with epoll, so that a later watch() of the same
    /// events needs no system call. An event that arrives while the watch is paused ends the registration. The owner
    /// must call unwatch() before it closes the descriptor.
    void pauseWatch(int descriptor);

    bool isLoopThread() const { return std::this_thread::get_id() == m_threadId.load(); }
    Instant now() const;

    /// Processes events until stop().
    void run();

    /// Processes the events and timers that are ready, without waiting. For tests with a manual clock.
    void runReady();

    /// May be called from any thread.
    void stop();

    /// Number of tasks, timers and callbacks that ended with an exception.
    uint64_t failedTasks() const { return m_failedTasks; }

private:
    explicit EventLoop(const Clock&);
    void runPosted();
    void dispatchEvents(int waitMs);
    void runTimers();
    int millisecondsToNextTimer() const;
    template <typename Callable> void runGuarded(Callable&&);

    const Clock& m_clock;
    int m_epoll { -1 };
    int m_wakeup { -1 };
    std::atomic<std::thread::id> m_threadId {};
    std::atomic<bool> m_stopping { false };
    std::atomic<uint64_t> m_failedTasks { 0 };
    std::mutex m_mutex;
    std::vector<Task> m_posted;
    uint64_t m_lastTimerSequence { 0 };
    std::map<std::pair<Instant, uint64_t>, Task> m_timers;
    struct Registration {
        /// Empty while the watch is paused.
        std::shared_ptr<Watcher> watcher;
        uint32_t epollEvents { 0 };
    };
    std::unordered_map<int, Registration> m_registrations;
};

}
