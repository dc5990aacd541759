#pragma once

#include <LibCore/Time.h>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace Bergamot {

/// Queue of tasks for one thread. Any thread may call post(); only the owning thread calls waitAndTake().
class Mailbox {
public:
    using Task = std::function<void()>;

    void post(Task);

    /// Waits until a task is queued or `timeout` has elapsed, then removes and returns all queued tasks in order.
    std::deque<Task> waitAndTake(Milliseconds timeout);

private:
    std::mutex m_mutex;
    std::condition_variable m_ready;
    std::deque<Task> m_tasks;
};

}
