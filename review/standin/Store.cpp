#include "Store.h"
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace Review {

using nlohmann::json;

// Figures of DEPLOY.md and PROTOCOL.md.
static constexpr int64_t keepMs = 300'000;
static constexpr size_t maxRecordBytes = 262'144;
static constexpr size_t maxCallBytes = 2'097'152;
static constexpr size_t maxStoredBytes = size_t { 400 } * 1000 * 1000;
static constexpr int64_t appendMs = 2;
static constexpr int64_t answerMs = 4;
static constexpr size_t pageItems = 500;
static constexpr size_t pageBytes = 1'000'000;
static constexpr size_t readBytes = 1024 * 1024;

static void putBigEndian(std::string& out, uint64_t value, int bytes)
{
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out += static_cast<char>(value >> shift & 0xff);
}

static std::string base64(const std::string& text)
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < text.size(); i += 3) {
        uint32_t group = 0;
        for (size_t k = 0; k < 3; ++k)
            group = group << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0);
        for (size_t k = 0; k < 4; ++k)
            out += i + k <= text.size() ? digits[group >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

Store::Store(Record& record, std::string ip, uint16_t port)
    : m_record(record)
    , m_server(std::move(ip), port, [this](const Request& request) { return handle(request); })
{
}

bool Store::openSecond(const std::string& ip, uint16_t port)
{
    m_secondServer = std::make_unique<HttpServer>(ip, port, [this](const Request& request) -> Response {
        if (m_isSecondCutOff)
            return { .delivery = Response::Delivery::Never };
        auto response = handle(request);
        // A response that a cut holds up is lost.
        if (m_isSecondCutOff)
            response.delivery = Response::Delivery::Never;
        return response;
    });
    return m_secondServer->open();
}

void Store::close()
{
    m_isClosed = true;
    m_changed.notify_all();
    m_server.close();
    if (m_secondServer)
        m_secondServer->close();
}

void Store::setFate(std::function<Fate(const Request&)> fate)
{
    std::scoped_lock lock(m_mutex);
    m_fate = std::move(fate);
}

static bool isKeyedTopic(const std::string& topic) { return topic.starts_with("keyed."); }

size_t Store::storedBytesLocked() const
{
    size_t bytes = 0;
    for (const auto& [name, partition] : m_partitions)
        bytes += partition.newestBytes + partition.recordBytes;
    return bytes;
}

size_t Store::storedBytes()
{
    std::scoped_lock lock(m_mutex);
    return storedBytesLocked();
}

/// Adds one record. The newest record of each key counts once more than the history, which expires.
void Store::add(Partition& partition, bool isKeyed, std::string content)
{
    if (isKeyed && !content.empty()) {
        auto keySize = static_cast<unsigned char>(content[0]);
        auto key = content.substr(1, keySize);
        auto value = content.substr(std::min<size_t>(content.size(), 1U + keySize));
        if (auto it = partition.newest.find(key); it != partition.newest.end()) {
            partition.newestBytes -= key.size() + it->second.value.size();
            partition.newest.erase(it);
        }
        if (!value.empty()) {
            partition.newestBytes += key.size() + value.size();
            partition.newest[key] = { value, partition.first + partition.records.size() };
        }
    }
    partition.recordBytes += content.size();
    partition.records.emplace_back(steadyMs(), std::move(content));
    while (steadyMs() - partition.records.front().first > keepMs) {
        partition.recordBytes -= partition.records.front().second.size();
        partition.records.pop_front();
        ++partition.first;
    }
}

void Store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    std::string content(1, static_cast<char>(key.size()));
    std::scoped_lock lock(m_mutex);
    add(m_partitions[{ topic, 0 }], true, content + key + value);
    m_changed.notify_all();
}

std::vector<Store::Kept> Store::keptRecords()
{
    std::scoped_lock lock(m_mutex);
    std::vector<Kept> kept;
    for (const auto& [name, partition] : m_partitions) {
        for (const auto& [key, entry] : partition.newest)
            kept.push_back({ name.first, name.second, key, entry.value });
    }
    return kept;
}

void Store::keep(const Kept& record)
{
    std::scoped_lock lock(m_mutex);
    auto& partition = m_partitions[{ record.topic, record.part }];
    partition.newest[record.key] = { record.value, partition.first + partition.records.size() };
    partition.newestBytes += record.key.size() + record.value.size();
}

Store::Partition& Store::partitionOf(const Request& request)
{
    auto part = request.query.contains("part") ? std::stoull(request.query.at("part")) : 0;
    return m_partitions[{ request.query.at("topic"), part }];
}

Response Store::handle(const Request& request)
{
    auto fate = Fate::Served;
    {
        std::unique_lock lock(m_mutex);
        auto decide = m_fate;
        lock.unlock();
        if (decide)
            fate = decide(request);
    }
    if (fate == Fate::Busy)
        return { .status = 503 };
    if (fate == Fate::Reset)
        return { .delivery = Response::Delivery::Reset };
    Response response { .status = 404 };
    if (request.path == "/log-append")
        response = append(request);
    else if (request.path == "/log-read")
        response = read(request);
    else if (request.path == "/log-newest")
        response = newest(request);
    if (fate == Fate::AnswerLost) {
        m_record.add("store: carried out " + request.path + " on " + request.query.at("topic") + " with status "
            + std::to_string(response.status) + "; its answer is lost, and the connection is reset");
        return { .delivery = Response::Delivery::Reset };
    }
    sleepMs(answerMs);
    return response;
}

Response Store::append(const Request& request)
{
    sleepMs(appendMs);
    const auto& topic = request.query.at("topic");
    if (topic == "keyed.op" || topic == "keyed.servers")
        return { .status = 403 };
    std::vector<std::string> records;
    for (size_t position = 0; position < request.body.size();) {
        if (request.body.size() - position < 4)
            return { .status = 400 };
        size_t size = 0;
        for (int i = 0; i < 4; ++i)
            size = size << 8 | static_cast<unsigned char>(request.body[position++]);
        if (size > maxRecordBytes || size > request.body.size() - position)
            return { .status = 400 };
        records.push_back(request.body.substr(position, size));
        position += size;
    }
    if (request.body.size() > maxCallBytes)
        return { .status = 400 };
    std::scoped_lock lock(m_mutex);
    auto& partition = partitionOf(request);
    auto end = partition.first + partition.records.size();
    Producer* producer = nullptr;
    uint64_t sequence = 0;
    if (request.query.contains("producer")) {
        producer = &partition.producers[request.query.at("producer")];
        auto epoch = std::stoull(request.query.at("epoch"));
        sequence = std::stoull(request.query.at("seq"));
        if (epoch < producer->epoch)
            return { .status = 409, .body = R"({"reason":"fenced"})" };
        if (epoch > producer->epoch)
            *producer = { .epoch = epoch, .sequence = {}, .answers = {} };
        for (const auto& [earlier, answer] : producer->answers) {
            if (earlier == sequence && !request.body.empty())
                return { .body = answer };
        }
        if (producer->sequence && sequence != *producer->sequence + 1 && !request.body.empty())
            return { .status = 409,
                .body = json { { "reason", "seq" }, { "expected", *producer->sequence + 1 } }.dump() };
    }
    if (request.query.contains("at") && std::stoull(request.query.at("at")) != end)
        return { .status = 412, .body = json { { "end", end } }.dump() };
    if (auto name = request.body.find("front-"); request.query.contains("at") && name != std::string::npos)
        m_lastConditionalAuthor = std::atoi(request.body.c_str() + name + 6);
    if (storedBytesLocked() + request.body.size() > maxStoredBytes)
        return { .status = 507 };
    for (auto& record : records)
        add(partition, isKeyedTopic(topic), std::move(record));
    auto answer = json { { "offset", end }, { "end", partition.first + partition.records.size() } }.dump();
    if (producer) {
        producer->sequence = sequence;
        producer->answers.emplace_back(sequence, answer);
        if (producer->answers.size() > 5)
            producer->answers.pop_front();
    }
    m_changed.notify_all();
    return { .body = answer };
}

Response Store::read(const Request& request)
{
    auto from = std::stoull(request.query.at("from"));
    int64_t waitMs = request.query.contains("waitMs") ? std::stoll(request.query.at("waitMs")) : 0;
    auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
    std::unique_lock lock(m_mutex);
    auto& partition = partitionOf(request);
    m_changed.wait_until(
        lock, deadline, [&] { return m_isClosed || m_isDown || from < partition.first + partition.records.size(); });
    if (m_isDown)
        return { .status = 503 };
    if (from < partition.first)
        return { .status = 410, .body = json { { "first", partition.first } }.dump() };
    std::string body;
    putBigEndian(body, partition.first + partition.records.size(), 8);
    putBigEndian(body, partition.first, 8);
    for (auto i = from - partition.first; i < partition.records.size() && body.size() < readBytes; ++i) {
        putBigEndian(body, partition.records[i].second.size(), 4);
        body += partition.records[i].second;
    }
    return { .body = body };
}

Response Store::newest(const Request& request)
{
    std::scoped_lock lock(m_mutex);
    auto& partition = partitionOf(request);
    auto after = request.query.contains("dependsOn") ? request.query.at("dependsOn") : std::string();
    auto items = json::array();
    size_t bytes = 0;
    bool hasMore = false;
    for (auto it = partition.newest.upper_bound(after); it != partition.newest.end(); ++it) {
        if (items.size() >= pageItems || bytes >= pageBytes) {
            hasMore = true;
            break;
        }
        bytes += it->second.value.size();
        items.push_back(
            { { "key", it->first }, { "value", base64(it->second.value) }, { "offset", it->second.offset } });
    }
    return {
        .body
        = json { { "items", items }, { "more", hasMore }, { "end", partition.first + partition.records.size() } }.dump()
    };
}

}
