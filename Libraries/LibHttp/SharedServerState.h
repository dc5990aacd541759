#pragma once

#include <LibHttp/HttpLimits.h>
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace Bergamot {

class ResponseQueue;

/// State shared by the transports of one server. Accessed from all threads of the server.
class SharedServerState {
public:
    using Handler = std::function<void(HttpRequest, HttpResponder)>;

    Handler handler;

    /// Number of requests that have been received but not answered.
    std::atomic<size_t> requestsInProgress { 0 };

    /// Number of UnfinishedRequest objects.
    std::atomic<size_t> unfinishedRequests { 0 };

    /// Each connection closes after its next response.
    std::atomic<bool> isClosingConnections { false };

    /// Nothing more is read from the connections, and those without an unanswered request close.
    std::atomic<bool> isReadingStopped { false };

    std::shared_ptr<const HttpLimits> limits() const
    {
        std::lock_guard lock(m_mutex);
        return m_limits;
    }

    /// May be called while the server runs.
    void setLimits(const HttpLimits& limits)
    {
        auto replacement = std::make_shared<const HttpLimits>(limits);
        std::lock_guard lock(m_mutex);
        m_limits = std::move(replacement);
    }

    /// Lets stopReading() wake the thread that polls the queue.
    void addResponseQueue(std::weak_ptr<ResponseQueue> queue)
    {
        std::lock_guard lock(m_mutex);
        m_responseQueues.push_back(std::move(queue));
    }

    /// May be called while the server runs.
    void stopReading();

private:
    /// Guards the pointer: in the library of GCC 12, std::atomic<std::shared_ptr> releases its lock after a load with
    /// relaxed order, so that a concurrent store may tear the loaded pointer.
    mutable std::mutex m_mutex;
    std::shared_ptr<const HttpLimits> m_limits { std::make_shared<const HttpLimits>() };
    std::vector<std::weak_ptr<ResponseQueue>> m_responseQueues;
};

}
