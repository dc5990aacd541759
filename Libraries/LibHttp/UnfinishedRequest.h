#pragma once

#include <LibHttp/SharedServerState.h>
#include <memory>
#include <utility>

namespace Bergamot {

/// Counts as an unfinished request of the server while it exists: from before the bytes of a request are read until its
/// response has been written to the socket or the connection has failed.
class UnfinishedRequest {
public:
    explicit UnfinishedRequest(std::shared_ptr<SharedServerState> state)
        : m_state(std::move(state))
    {
        ++m_state->unfinishedRequests;
    }
    UnfinishedRequest(const UnfinishedRequest&) = delete;
    UnfinishedRequest& operator=(const UnfinishedRequest&) = delete;
    ~UnfinishedRequest() { --m_state->unfinishedRequests; }

private:
    std::shared_ptr<SharedServerState> m_state;
};

}
