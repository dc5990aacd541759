#include "LogPartition.h"
#include <algorithm>
#include <fmt/format.h>

namespace Bergamot {

/// Repeats of this many earlier appends of a producer are answered again.
static constexpr size_t rememberedAppends = 5;

static void addBigEndian(std::string& out, uint64_t value, int bytes)
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

LogPartition::Answer LogPartition::append(
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
            return { 200, fmt::format(R"({{"offset":{0},"end":{0}}})", end()) };
        auto repeated = std::ranges::find_if(
            state->recent, [&](const auto& recent) { return recent.first == producer->sequence; });
        if (repeated != state->recent.end())
            return repeated->second;
        if (state->sequence && producer->sequence != *state->sequence + 1)
            return { 409, fmt::format(R"({{"reason":"seq","seq":{}}})", *state->sequence + 1) };
    }
    if (expectedEndOffset && *expectedEndOffset != end())
        return { 412, fmt::format(R"({{"end":{}}})", end()) };
    auto offset = end();
    for (auto record : *records)
        add(record);
    Answer answer { 200, fmt::format(R"({{"offset":{},"end":{}}})", offset, end()) };
    if (state) {
        state->sequence = producer->sequence;
        state->recent.emplace_back(producer->sequence, answer);
        if (state->recent.size() > rememberedAppends)
            state->recent.pop_front();
    }
    return answer;
}

void LogPartition::add(std::string_view record)
{
    auto offset = end();
    m_records.emplace_back(record);
    if (!m_keyed || record.empty())
        return;
    size_t keySize = static_cast<unsigned char>(record[0]);
    std::string key(record.substr(1, keySize));
    auto value = record.substr(std::min(record.size(), 1 + keySize));
    if (value.empty())
        m_newest.erase(key);
    else
        m_newest[key] = { std::string(value), offset };
}

std::string LogPartition::read(uint64_t from) const
{
    std::string out;
    addBigEndian(out, end(), 8);
    addBigEndian(out, m_first, 8);
    for (auto position = from; position < end(); ++position) {
        const auto& record = m_records[position - m_first];
        addBigEndian(out, record.size(), 4);
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
    add(record);
}

void LogPartition::forget(size_t kept)
{
    while (m_records.size() > kept) {
        m_records.pop_front();
        ++m_first;
    }
}

}
