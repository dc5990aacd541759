#pragma once

#include "FakeRecordStore.h"
#include <LibHttp/EventLoop.h>
#include <map>
#include <random>
#include <string>
#include <utility>

namespace Bergamot {

/// A record store as one node reaches it: calls are refused or lost, replies are lost or late, appends take effect
/// late, and single partitions cannot be read for a time.
class FaultyStore final : public RecordStore {
public:
    FaultyStore(EventLoop& loop, FakeRecordStore& shared, std::mt19937& random)
        : m_loop(loop)
        , m_shared(shared)
        , m_random(random)
    {
    }

    static constexpr Milliseconds maxAppendDelay { 6000 };
    static constexpr Milliseconds maxReadDelay { 700 };

    /// Share of the calls that meet a fault, in percent.
    uint32_t faultPercent { 0 };

    /// Up to these times, reads of the partition get no reply.
    std::map<std::pair<StreamName, uint32_t>, Instant> unreadableUntil {};

    void append(const AppendRequest& request, Milliseconds timeout, Callback<AppendReply> callback) override
    {
        switch (pickFault()) {
        case Fault::None:
            return m_shared.append(request, timeout, std::move(callback));
        case Fault::Refused:
            return m_loop.callAfter(replyTime, [callback] { callback(absl::AbortedError("refused")); });
        case Fault::Lost:
            break;
        case Fault::ReplyLost:
            m_shared.append(request, timeout, [](auto) {});
            break;
        case Fault::Late:
            m_loop.callAfter(
                pickTime(maxAppendDelay), [this, request, timeout] { m_shared.append(request, timeout, [](auto) {}); });
            break;
        }
        loseReply(timeout, std::move(callback));
    }

    void read(StreamName stream, uint32_t partition, LogPosition from, Milliseconds wait,
        Callback<ReadReply> callback) override
    {
        constexpr Milliseconds timeoutSlack { 600 };
        if (isUnreadable(stream, partition))
            return loseReply(wait + timeoutSlack, std::move(callback));
        m_shared.read(stream, partition, from, wait, replyTo(stream, partition, timeoutSlack, std::move(callback)));
    }

    void readNewest(StreamName stream, uint32_t partition, const std::string& afterKey, Milliseconds timeout,
        Callback<ReadNewestReply> callback) override
    {
        if (isUnreadable(stream, partition))
            return loseReply(timeout, std::move(callback));
        m_shared.readNewest(
            stream, partition, afterKey, timeout, replyTo(stream, partition, timeout, std::move(callback)));
    }

private:
    enum class Fault : uint8_t { None, Refused, Lost, ReplyLost, Late };
    static constexpr Milliseconds replyTime { 4 };

    Fault pickFault()
    {
        if (m_random() % 100 >= faultPercent)
            return Fault::None;
        return static_cast<Fault>(1 + m_random() % 4);
    }

    Milliseconds pickTime(Milliseconds max) { return Milliseconds { m_random() % max.count() }; }

    bool isUnreadable(StreamName stream, uint32_t partition) const
    {
        auto it = unreadableUntil.find({ stream, partition });
        return it != unreadableUntil.end() && m_loop.now() < it->second;
    }

    template <typename Reply> void loseReply(Milliseconds timeout, Callback<Reply> callback)
    {
        m_loop.callAfter(timeout, [callback] { callback(absl::DeadlineExceededError("no reply")); });
    }

    /// A reply may be late, and then has the records that were there when the store sent it.
    template <typename Reply>
    Callback<Reply> replyTo(StreamName stream, uint32_t partition, Milliseconds timeout, Callback<Reply> callback)
    {
        return [this, stream, partition, timeout, fault = pickFault(), callback = std::move(callback)](
                   absl::StatusOr<Reply> reply) {
            if (isUnreadable(stream, partition) || fault == Fault::Lost || fault == Fault::ReplyLost)
                return loseReply(timeout, callback);
            if (fault == Fault::Refused)
                return callback(absl::AbortedError("refused"));
            if (fault == Fault::Late)
                return m_loop.callAfter(pickTime(maxReadDelay), [callback, reply] { callback(reply); });
            callback(reply);
        };
    }

    EventLoop& m_loop;
    FakeRecordStore& m_shared;
    std::mt19937& m_random;
};

}
