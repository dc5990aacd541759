#pragma once

#include <cstddef>
#include <deque>
#include <functional>

namespace Bergamot {

/// Limits the number of calls in progress. Calls above the limit wait in first-in, first-out order.
class ConcurrencyLimiter {
public:
    /// Sends the call and returns true, or returns false if the call is no longer needed.
    using Send = std::function<bool()>;

    explicit ConcurrencyLimiter(size_t maxInProgress)
        : m_maxInProgress(maxInProgress)
    {
    }

    void enqueue(Send);

    /// Must be called once for each sent call, after its reply or its failure.
    void callFinished();

    size_t inProgress() const { return m_inProgress; }

private:
    void sendQueued();

    size_t m_maxInProgress;
    size_t m_inProgress { 0 };
    std::deque<Send> m_queue;
};

}
