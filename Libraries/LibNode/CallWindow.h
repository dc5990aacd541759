#pragma once

#include <cstddef>
#include <deque>
#include <functional>

namespace Bergamot {

/// Bounds how many calls are in progress; further ones wait in the order in which they were requested.
class CallWindow {
public:
    /// Sends the call and returns true, or returns false when it is no longer wanted.
    using Send = std::function<bool()>;

    explicit CallWindow(size_t size)
        : m_size(size)
    {
    }

    void request(Send);

    /// A call that was sent has been answered or given up.
    void ended();

    size_t inProgress() const { return m_inProgress; }

private:
    void sendWaiting();

    size_t m_size;
    size_t m_inProgress { 0 };
    std::deque<Send> m_waiting;
};

}
