#pragma once

#include "FakeRecordStore.h"
#include <random>
#include <utility>

namespace Bergamot {

/// A store whose records each process reads a different time later, so that not always the same process is first.
class LateReplyStore final : public RecordStore {
public:
    LateReplyStore(EventLoop& loop, FakeRecordStore& shared, std::mt19937& random)
        : m_loop(loop)
        , m_shared(shared)
        , m_random(random)
    {
    }

    void append(const AppendRequest& request, Milliseconds timeout, Callback<AppendReply> callback) override
    {
        m_shared.append(request, timeout, std::move(callback));
    }

    void read(StreamName stream, uint32_t partition, LogPosition from, Milliseconds wait,
        Callback<ReadReply> callback) override
    {
        constexpr uint32_t maxDelayMs { 40 };
        auto delay = Milliseconds { static_cast<int64_t>(m_random() % maxDelayMs) };
        m_shared.read(stream, partition, from, wait,
            [this, delay, callback = std::move(callback)](absl::StatusOr<ReadReply> reply) {
                m_loop.callAfter(delay, [callback, reply = std::move(reply)] { callback(reply); });
            });
    }

    void readNewest(StreamName stream, uint32_t partition, const std::string& afterKey, Milliseconds timeout,
        Callback<ReadNewestReply> callback) override
    {
        m_shared.readNewest(stream, partition, afterKey, timeout, std::move(callback));
    }

private:
    EventLoop& m_loop;
    FakeRecordStore& m_shared;
    std::mt19937& m_random;
};

}
