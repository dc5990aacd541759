#pragma once

#include "FakeRecordStore.h"
#include <utility>

namespace Bergamot {

/// The shared store as the processes of one host reach it: replies wait until the host's event loop runs, and the host
/// may be cut off from the store.
class HostStore final : public RecordStore {
public:
    HostStore(EventLoop& loop, EventLoop& hostLoop, FakeRecordStore& shared)
        : m_loop(loop)
        , m_hostLoop(hostLoop)
        , m_shared(shared)
    {
    }

    void append(const AppendRequest& request, Milliseconds timeout, Callback<AppendReply> callback) override
    {
        if (isCutOff())
            return fail(timeout, std::move(callback));
        m_shared.append(request, timeout, onHostLoop(std::move(callback)));
    }

    void read(StreamName stream, uint32_t partition, LogPosition from, Milliseconds wait,
        Callback<ReadReply> callback) override
    {
        constexpr Milliseconds timeoutSlack { 600 };
        if (isCutOff())
            return fail(wait + timeoutSlack, std::move(callback));
        m_shared.read(stream, partition, from, wait, onHostLoop(std::move(callback)));
    }

    void readNewest(StreamName stream, uint32_t partition, const std::string& afterKey, Milliseconds timeout,
        Callback<ReadNewestReply> callback) override
    {
        if (isCutOff())
            return fail(timeout, std::move(callback));
        m_shared.readNewest(stream, partition, afterKey, timeout, onHostLoop(std::move(callback)));
    }

    bool isCutOff() const { return m_loop.now() < cutUntil; }

    Instant cutUntil { neverInstant };

private:
    template <typename Reply> Callback<Reply> onHostLoop(Callback<Reply> callback)
    {
        return [this, callback = std::move(callback)](absl::StatusOr<Reply> reply) {
            if (isCutOff())
                reply = absl::DeadlineExceededError("cut off");
            m_hostLoop.post([callback, reply = std::move(reply)] { callback(reply); });
        };
    }

    template <typename Reply> void fail(Milliseconds timeout, Callback<Reply> callback)
    {
        m_loop.callAfter(
            timeout, [reply = onHostLoop(std::move(callback))] { reply(absl::DeadlineExceededError("cut off")); });
    }

    EventLoop& m_loop;
    EventLoop& m_hostLoop;
    FakeRecordStore& m_shared;
};

}
