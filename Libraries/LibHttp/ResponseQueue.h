#pragma once

#include <LibHttp/HttpResponse.h>
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
    };

    ResponseQueue();
    ResponseQueue(const ResponseQueue&) = delete;
    ResponseQueue& operator=(const ResponseQueue&) = delete;
    ~ResponseQueue();

    void push(Entry);

    /// Removes and returns all queued responses.
    std::vector<Entry> takeAll();

    /// An eventfd that is readable while the queue is not empty.
    int descriptor() const { return m_wakeup; }

private:
    int m_wakeup { -1 };
    std::mutex m_mutex;
    std::vector<Entry> m_entries;
};

}
