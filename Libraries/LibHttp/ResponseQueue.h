#pragma once

#include <LibHttp/HttpResponse.h>
#include <LibHttp/UnfinishedRequest.h>
#include <memory>
#include <mutex>
#include <vector>

namespace Pistache::Tcp {
class Peer;
}

namespace Bergamot {

/// Passes responses from any thread to the thread of a transport. Replaces the queues of Pistache 0.0.5, which can lose
/// a wake-up when one thread pushes while another drains the queue.
class ResponseQueue {
public:
    struct Entry {
        std::weak_ptr<Pistache::Tcp::Peer> peer;
        HttpResponse response;
        std::shared_ptr<UnfinishedRequest> request;
    };

    ResponseQueue();
    ResponseQueue(const ResponseQueue&) = delete;
    ResponseQueue& operator=(const ResponseQueue&) = delete;
    ~ResponseQueue();

    void push(Entry);

    /// Wakes the thread that polls the descriptor although the queue may be empty.
    void wake();

    /// Removes and returns all queued responses.
    std::vector<Entry> takeAll();

    /// An eventfd that is readable while the queue is not empty, and once after wake().
    int descriptor() const { return m_wakeup; }

private:
    int m_wakeup { -1 };
    std::mutex m_mutex;
    std::vector<Entry> m_entries;
};

}
