#pragma once

#include "FakeRecordStore.h"
#include <utility>

namespace Bergamot {

/// The shared store as a process with an event loop of its own reaches it: replies wait until that loop runs.
class HostStore final : public RecordStore {
public:
    HostStore(EventLoop& hostLoop, FakeRecordStore& shared)
        : m_hostLoop(hostLoop)
        , m_shared(shared)
    {
    }

    void append(const AppendRequest& request, Milliseconds timeout, Callback<AppendReply> callback) override
    {
        m_shared.append(request, timeout, onHostLoop(std::move(callback)));
    }

    void read(StreamName stream, uint32_t partition, LogPosition from, Milliseconds wait,
        Callback<ReadReply> callback) override
    {
        m_shared.read(stream, partition, from, wait, onHostLoop(std::move(callback)));
    }

    void readNewest(StreamName stream, uint32_t partition, const std::string& afterKey, Milliseconds timeout,
        Callback<ReadNewestReply> callback) override
    {
        m_shared.readNewest(stream, partition, afterKey, timeout, onHostLoop(std::move(callback)));
    }

private:
    template <typename Reply> Callback<Reply> onHostLoop(Callback<Reply> callback)
    {
        return [this, callback = std::move(callback)](absl::StatusOr<Reply> reply) {
            m_hostLoop.post([callback, reply = std::move(reply)] { callback(reply); });
        };
    }

    EventLoop& m_hostLoop;
    FakeRecordStore& m_shared;
};

}
