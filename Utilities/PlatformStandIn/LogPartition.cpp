#include "LogPartition.h"
#include <algorithm>
#include <fmt/format.h>

namespace Bergamot {

/// Appends per producer whose replies are kept. A retry of such an append gets the same reply and stores nothing.
static constexpr size_t maxRecentReplies = 5;

static void appendBigEndian(std::string& out, uint64_t value, int bytes)
{
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out += static_cast<char>(value >> shift & 0xff);
}

static std::optional<std::vector<std::string_view>> splitRecords(std::string_view body)
{
    std::vector<std::string_view> records;
    while (!body.empty()) {
        if (body.size() < 4)
            return std::nullopt;
        size_t size = 0;
        for (unsigned char c : body.substr(0, 4))
            size = size << 8 | c;
        body.remove_prefix(4);
        if (size > body.size())
            return std::nullopt;
        records.push_back(body.substr(0, size));
        body.remove_prefix(size);
    }
    return records;
}

LogPartition::Reply LogPartition::append(
    std::string_view body, std::optional<uint64_t> expectedEndOffset, const std::optional<Producer>& producer)
{
    auto records = splitRecords(body);
    if (!records)
        return { 400, "{}" };
    ProducerState* state = nullptr;
    if (producer) {
        state = &m_producers[producer->name];
        if (producer->epoch < state->epoch)
            return { 409, R"({"reason":"fenced"})" };
        if (producer->epoch > state->epoch)
            *state = { .epoch = producer->epoch };
        if (records->empty())
            return { 200, fmt::format(R"({{"offset":{0},"end":{0}}})", endOffset()) };
        auto retried = std::ranges::find_if(
            state->recentReplies, [&](const auto& reply) { return reply.first == producer->sequence; });
        if (retried != state->recentReplies.end())
            return retried->second;
        if (state->lastSequence && producer->sequence != *state->lastSequence + 1)
            return { 409, fmt::format(R"({{"reason":"seq","seq":{}}})", *state->lastSequence + 1) };
    }
    if (expectedEndOffset && *expectedEndOffset != endOffset())
        return { 412, fmt::format(R"({{"end":{}}})", endOffset()) };
    auto offset = endOffset();
    for (auto record : *records)
        addRecord(record);
    Reply reply { 200, fmt::format(R"({{"offset":{},"end":{}}})", offset, endOffset()) };
    if (state) {
        state->lastSequence = producer->sequence;
        state->recentReplies.emplace_back(producer->sequence, reply);
        if (state->recentReplies.size() > maxRecentReplies)
            state->recentReplies.pop_front();
    }
    return reply;
}

void LogPartition::addRecord(std::string_view record)
{
    auto offset = endOffset();
    m_records.emplace_back(record);
    if (!m_keyed || record.empty())
        return;
    size_t keySize = static_cast<unsigned char>(record[0]);
    std::string key(record.substr(1, keySize));
    auto value = record.substr(std::min(record.size(), 1 + keySize));
    if (value.empty())
        m_newestRecords.erase(key);
    else
        m_newestRecords[key] = { std::string(value), offset };
}

std::string LogPartition::read(uint64_t fromOffset) const
{
    std::string out;
    appendBigEndian(out, endOffset(), 8);
    appendBigEndian(out, m_firstRetainedOffset, 8);
    for (auto offset = fromOffset; offset < endOffset(); ++offset) {
        const auto& record = m_records[offset - m_firstRetainedOffset];
        appendBigEndian(out, record.size(), 4);
        out += record;
    }
    return out;
}

void LogPartition::put(std::string_view key, std::string_view value)
{
    std::string record;
    record += static_cast<char>(key.size());
    record += key;
    record += value;
    addRecord(record);
}

uint64_t LogPartition::newestBytes() const
{
    uint64_t bytes = 0;
    for (const auto& [key, record] : m_newestRecords)
        bytes += key.size() + record.value.size();
    return bytes;
}

void LogPartition::trim(size_t retainedCount)
{
    while (m_records.size() > retainedCount) {
        m_records.pop_front();
        ++m_firstRetainedOffset;
    }
}

}
