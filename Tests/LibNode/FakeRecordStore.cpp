#include "FakeRecordStore.h"
#include <LibPlatform/RecordLimits.h>
#include <algorithm>

namespace Bergamot {

static constexpr Milliseconds replyTime { 4 };
static constexpr Milliseconds pollInterval { 5 };
static constexpr Milliseconds unresponsiveReadTime { 1500 };
static constexpr size_t maxRecentReplies = 5;

AppendReply FakeRecordStore::apply(Partition& partition, const AppendRequest& request)
{
    auto end = static_cast<LogPosition>(partition.records.size());
    if (request.expectedEndOffset && *request.expectedEndOffset != end)
        return { .outcome = AppendOutcome::EndMismatch };
    if (request.fence) {
        auto& writer = partition.writers[request.fence->writer];
        if (request.fence->epoch < writer.epoch)
            return { .outcome = AppendOutcome::Fenced };
        if (request.fence->epoch > writer.epoch)
            writer = { .epoch = request.fence->epoch };
        // An empty append only registers the epoch, which may then start at any sequence number.
        if (request.records.empty())
            return { .offset = end };
        auto sequence = request.fence->sequence;
        for (const auto& [recentSequence, reply] : writer.recentReplies) {
            if (recentSequence == sequence)
                return reply;
        }
        if (writer.lastSequence && sequence != *writer.lastSequence + 1)
            return { .outcome = AppendOutcome::WrongSequence };
        writer.lastSequence = sequence;
        writer.recentReplies.emplace_back(sequence, AppendReply { .offset = end });
        if (writer.recentReplies.size() > maxRecentReplies)
            writer.recentReplies.pop_front();
    }
    for (auto record : request.records) {
        record.offset = static_cast<LogPosition>(partition.records.size());
        partition.records.push_back(std::move(record));
    }
    return { .offset = end };
}

void FakeRecordStore::append(const AppendRequest& request, Milliseconds timeout, Callback<AppendReply> callback)
{
    ++appends;
    auto& partition = m_partitions[{ request.stream, request.partition }];
    if (fault == Fault::Refusing)
        return m_loop.callAfter(replyTime, [callback] { callback(absl::AbortedError("refused")); });
    if (fault == Fault::Unresponsive)
        return m_loop.callAfter(timeout, [callback] { callback(absl::DeadlineExceededError("silent")); });
    size_t bytes = 0;
    for (const auto& record : request.records)
        bytes += encodedSizeOf(record);
    bool isRecordTooLarge = std::ranges::any_of(
        request.records, [this](const KeyedRecord& it) { return contentSizeOf(it) > maxRecordSize; });
    if (bytes > maxCallBytes || isRecordTooLarge)
        return m_loop.callAfter(replyTime, [callback] { callback(absl::InvalidArgumentError("too large")); });
    auto reply = apply(partition, request);
    if (fault == Fault::LosingReplies)
        return m_loop.callAfter(timeout, [callback] { callback(absl::DeadlineExceededError("lost")); });
    if (appendTime >= timeout)
        return m_loop.callAfter(timeout, [callback] { callback(absl::DeadlineExceededError("slow")); });
    m_loop.callAfter(appendTime, [callback, reply] { callback(reply); });
}

void FakeRecordStore::poll(
    StreamName stream, uint32_t number, LogPosition from, Instant until, Callback<ReadReply> callback)
{
    auto& partition = m_partitions[{ stream, number }];
    if (from < partition.firstRetained)
        return callback(ReadReply { .isExpired = true, .firstRetained = partition.firstRetained });
    if (from >= partition.records.size() && m_loop.now() < until) {
        m_loop.callAfter(pollInterval, [this, stream, number, from, until, callback = std::move(callback)] {
            poll(stream, number, from, until, callback);
        });
        return;
    }
    ReadReply reply { .end = partition.records.size(), .firstRetained = partition.firstRetained };
    auto end = std::min(partition.records.size(), static_cast<size_t>(from) + readRecords);
    for (auto position = from; position < end; ++position)
        reply.records.push_back(partition.records[position]);
    callback(std::move(reply));
}

void FakeRecordStore::read(
    StreamName stream, uint32_t partition, LogPosition from, Milliseconds wait, Callback<ReadReply> callback)
{
    ++reads;
    if (fault == Fault::Refusing || unreadable.contains({ stream, partition }))
        return m_loop.callAfter(replyTime, [callback] { callback(absl::AbortedError("refused")); });
    if (fault == Fault::Unresponsive)
        return m_loop.callAfter(unresponsiveReadTime, [callback] { callback(absl::DeadlineExceededError("silent")); });
    auto delay = replyTime + readDelays[stream];
    m_loop.callAfter(delay, [this, stream, partition, from, wait, callback = std::move(callback)] {
        poll(stream, partition, from, m_loop.now() + wait, callback);
    });
}

void FakeRecordStore::readNewest(StreamName stream, uint32_t number, const std::string& afterKey, Milliseconds timeout,
    Callback<ReadNewestReply> callback)
{
    ++loads;
    if (fault == Fault::Refusing || fault == Fault::Unresponsive || unreadable.contains({ stream, number }))
        return m_loop.callAfter(replyTime, [callback] { callback(absl::AbortedError("refused")); });
    bool isUnanswered = unansweredReadNewest == stream || (unansweredAfterKey && *unansweredAfterKey == afterKey);
    if (isUnanswered || readNewestTime >= timeout)
        return m_loop.callAfter(timeout, [callback] { callback(absl::DeadlineExceededError("lost")); });
    m_loop.callAfter(readNewestTime, [this, stream, number, afterKey, callback = std::move(callback)] {
        auto& partition = m_partitions[{ stream, number }];
        std::map<std::string, KeyedRecord> newestByKey;
        for (const auto& record : partition.records)
            newestByKey[record.key] = record;
        ReadNewestReply reply { .end = partition.records.size() };
        for (auto it = newestByKey.upper_bound(afterKey); it != newestByKey.end(); ++it) {
            if (it->second.value.empty())
                continue;
            if (reply.records.size() == pageRecords) {
                reply.hasMore = true;
                break;
            }
            reply.records.push_back(it->second);
        }
        callback(std::move(reply));
    });
}

void FakeRecordStore::put(StreamName stream, std::string key, std::string value)
{
    apply(m_partitions[{ stream, 0 }],
        { .stream = stream, .records = { { .key = std::move(key), .value = std::move(value) } } });
}

void FakeRecordStore::expire(StreamName stream)
{
    auto& partition = m_partitions[{ stream, 0 }];
    partition.firstRetained = partition.records.size();
}

}
