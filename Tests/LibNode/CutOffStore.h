#pragma once

#include "FakeRecordStore.h"

namespace Bergamot {

/// The store as one node reaches it.
class CutOffStore final : public RecordStore {
public:
    CutOffStore(EventLoop& loop, FakeRecordStore& store)
        : m_loop(loop)
        , m_store(store)
    {
    }

    void append(const AppendRequest& request, Milliseconds timeout, Callback<AppendReply> callback) override
    {
        if (!isCutOff)
            return m_store.append(request, timeout, std::move(callback));
        m_loop.callAfter(timeout, [callback] { callback(absl::DeadlineExceededError("cut off")); });
    }

    void read(StreamName stream, uint32_t partition, LogPosition from, Milliseconds wait,
        Callback<ReadReply> callback) override
    {
        if (isCutOff)
            return m_loop.callAfter(wait + slack, [callback] { callback(absl::DeadlineExceededError("cut off")); });
        m_store.read(stream, partition, from, wait, [this, callback](absl::StatusOr<ReadReply> reply) {
            callback(isCutOff ? absl::StatusOr<ReadReply>(absl::DeadlineExceededError("cut off")) : std::move(reply));
        });
    }

    void readNewest(StreamName stream, uint32_t partition, const std::string& afterKey, Milliseconds timeout,
        Callback<ReadNewestReply> callback) override
    {
        if (!isCutOff)
            return m_store.readNewest(stream, partition, afterKey, timeout, std::move(callback));
        m_loop.callAfter(timeout, [callback] { callback(absl::DeadlineExceededError("cut off")); });
    }

    bool isCutOff { false };

private:
    static constexpr Milliseconds slack { 500 };

    EventLoop& m_loop;
    FakeRecordStore& m_store;
};

}
