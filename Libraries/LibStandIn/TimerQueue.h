#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Bergamot {

/// Runs tasks at their due time on a dedicated thread. The destructor discards the tasks that have not run.
class TimerQueue {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Task = std::function<void()>;

    TimerQueue();
    ~TimerQueue();
    TimerQueue(const TimerQueue&) = delete;
    TimerQueue& operator=(const TimerQueue&) = delete;

    void schedule(TimePoint due, Task);
    void scheduleAfter(std::chrono::microseconds, Task);

private:
    struct Entry {
        TimePoint due;
        uint64_t sequence;
        Task task;
    };

    static bool isLater(const Entry&, const Entry&);
    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Entry> m_heap;
    uint64_t m_sequence { 0 };
    bool m_stopping { false };
    std::thread m_thread;
};

}
