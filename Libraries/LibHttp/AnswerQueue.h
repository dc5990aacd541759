#pragma once

#include <LibHttp/HttpResponse.h>
#include <memory>
#include <mutex>
#include <vector>

namespace Pistache::Tcp {
class Peer;
}

namespace Bergamot {

/// Carries answers from any thread to the thread of a transport. The queues of Pistache 0.0.5 can lose a wake-up when
/// they are filled while they are emptied.
class AnswerQueue {
public:
    struct Answer {
        std::weak_ptr<Pistache::Tcp::Peer> peer;
        HttpResponse response;
    };

    AnswerQueue();
    AnswerQueue(const AnswerQueue&) = delete;
    AnswerQueue& operator=(const AnswerQueue&) = delete;
    ~AnswerQueue();

    void push(Answer);

    /// All that was pushed since the last call.
    std::vector<Answer> takeAll();

    /// Readable while there are answers.
    int descriptor() const { return m_wakeup; }

private:
    int m_wakeup { -1 };
    std::mutex m_mutex;
    std::vector<Answer> m_answers;
};

}
