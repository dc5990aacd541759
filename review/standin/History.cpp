#include "Cases.h"
#include <atomic>
#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

// The case of a store that holds the records of many ended jobs.

namespace Review {

using nlohmann::json;

/// Ended jobs whose records the store holds: 7.8 hours of the 8.9 jobs a second of zetonu-grafiks.
static constexpr uint32_t endedJobs = 250'000;

/// `memoryMb` of the site's machines. The platform kills a process that exceeds it, and starts it again after a short
/// delay.
static constexpr size_t memoryLimit = size_t { 260 } * 1024 * 1024;
static constexpr int64_t restartDelayMs = 1000;

static constexpr uint64_t dayMs = 86'400'000;

static std::string jobBody()
{
    json first { { "count", 6 }, { "cpu", 2100 }, { "memMb", 4200 }, { "estRuntimeMs", 300 } };
    json second { { "count", 8 }, { "cpu", 2100 }, { "memMb", 4200 }, { "estRuntimeMs", 300 },
        { "dependsOn", json::array({ 0 }) } };
    return json { { "spec", "300 " + std::string(300, 'x') }, { "steps", json::array({ first, second }) } }.dump();
}

static std::string jobId(const char* prefix, uint32_t n)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%s%012x", prefix, n);
    return text;
}

static void replaceAll(std::string& text, const std::string& from, const std::string& to)
{
    for (size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
        text.replace(at, from.size(), to);
}

/// Moves a Unix time in milliseconds from the last minutes, which msgpack stores in eight bytes, back by a day.
static void moveTimeBack(std::string& text)
{
    constexpr uint64_t recentMs = 600'000;
    for (size_t i = 0; i + 9 <= text.size(); ++i) {
        auto type = static_cast<unsigned char>(text[i]);
        if (type != 0xcf && type != 0xd3)
            continue;
        uint64_t value = 0;
        for (size_t k = 1; k <= 8; ++k)
            value = value << 8 | static_cast<unsigned char>(text[i + k]);
        auto now = static_cast<uint64_t>(unixMs());
        if (value > now || value + recentMs < now)
            continue;
        value -= dayMs;
        for (size_t k = 8; k >= 1; --k, value >>= 8)
            text[i + k] = static_cast<char>(value & 0xff);
    }
}

/// Copies the records that the system has written of an ended job, under other ids and a day older.
static void addHistory(Deployment& deployment, const std::string& job)
{
    std::vector<Store::Kept> templates;
    for (auto& record : deployment.store().keptRecords()) {
        if (record.value.find(job) == std::string::npos)
            continue;
        moveTimeBack(record.value);
        deployment.record().add("the system keeps " + std::to_string(record.value.size()) + " bytes in " + record.topic
            + " under " + record.key + " for the ended job " + job);
        templates.push_back(record);
    }
    for (uint32_t n = 0; n < endedJobs; ++n) {
        auto id = jobId("0dd0", n);
        for (auto record : templates) {
            replaceAll(record.key, job, id);
            replaceAll(record.value, job, id);
            deployment.store().keep(record);
        }
    }
    deployment.record().add("the store holds the records of " + std::to_string(endedJobs) + " ended jobs, "
        + std::to_string(deployment.store().storedBytes() / 1'000'000) + " MB of 400");
}

namespace {

    /// Plays the platform towards the processes: kills those that exceed their memory, and starts ended ones again.
    class Platform {
    public:
        explicit Platform(Deployment& deployment)
            : m_deployment(deployment)
            , m_restartAt(static_cast<size_t>(deployment.nodes()), 0)
        {
        }

        void kill(int node)
        {
            m_deployment.signalNode(node, SIGKILL);
            m_deployment.reapNode(node);
            m_restartAt[static_cast<size_t>(node)] = steadyMs() + restartDelayMs;
        }

        void tick()
        {
            for (int i = 0; i < m_deployment.nodes(); ++i) {
                auto& restartAt = m_restartAt[static_cast<size_t>(i)];
                if (restartAt != 0 && steadyMs() >= restartAt) {
                    restartAt = 0;
                    m_deployment.startNode(i);
                    continue;
                }
                if (restartAt != 0)
                    continue;
                if (auto bytes = m_deployment.memoryBytes(i); bytes > memoryLimit) {
                    m_deployment.record().add("node " + std::to_string(i + 1) + " uses " + std::to_string(bytes >> 20)
                        + " MB, more than its 260 MB, and is killed");
                    ++m_kills;
                    kill(i);
                }
            }
        }

        void run(int64_t ms)
        {
            for (auto end = steadyMs() + ms; steadyMs() < end; sleepMs(50))
                tick();
        }

        int kills() const { return m_kills; }

    private:
        Deployment& m_deployment;
        std::vector<int64_t> m_restartAt;
        int m_kills { 0 };
    };

}

static std::string stateOf(Deployment& deployment, const std::string& id, int node, int timeoutMs)
{
    auto answer = deployment.callNode(node, "GET", "/queue/" + id, {}, timeoutMs);
    auto body = json::parse(answer.body, nullptr, false);
    return answer.status == 200 && body.is_object() ? body.value("state", "") : "";
}

/// Rule LOST: jobs are asked for after the end of the traffic, and one gets no answer in time.
Verdict playHistory(Deployment& deployment, bool trouble)
{
    constexpr int64_t trafficMs = 15'000;
    constexpr int64_t killAtMs = 5'000;
    constexpr int64_t pauseMs = 250;
    constexpr int64_t finishMs = 14'000;
    constexpr int64_t askMs = 45'000;
    constexpr int askTimeoutMs = 3000;
    constexpr int64_t askPauseMs = 500;
    auto first = jobId("f125", 0);
    deployment.callNode(0, "POST", "/queue/" + first, jobBody());
    for (int i = 0; i < 100 && stateOf(deployment, first, 0, askTimeoutMs) != "completed"; ++i)
        sleepMs(100);
    sleepMs(1000);
    addHistory(deployment, first);
    Platform platform(deployment);
    auto begin = steadyMs();
    std::mutex mutex;
    std::set<std::string> accepted;
    std::thread traffic([&] {
        for (uint32_t n = 0; steadyMs() - begin < trafficMs; ++n) {
            auto id = jobId("5eed", n);
            for (int attempt = 0; attempt < 5; ++attempt) {
                auto node = (static_cast<int>(n) + attempt) % deployment.nodes();
                if (deployment.callNode(node, "POST", "/queue/" + id, jobBody(), 500).status != 200)
                    continue;
                std::scoped_lock lock(mutex);
                accepted.insert(id);
                break;
            }
            sleepMs(pauseMs);
        }
    });
    platform.run(killAtMs);
    if (trouble)
        platform.kill(deployment.store().lastConditionalAuthor() - 1);
    platform.run(begin + trafficMs - steadyMs());
    std::thread waiter([&] { traffic.join(); });
    platform.run(finishMs);
    waiter.join();
    // Each job is asked for at the nodes in turn until one tells its state.
    std::set<std::string> open = accepted;
    std::vector<std::thread> askers;
    std::atomic<size_t> asking { accepted.size() };
    auto end = steadyMs() + askMs;
    int firstNode = 0;
    for (const auto& id : accepted) {
        askers.emplace_back([&, id, node = firstNode++]() mutable {
            bool isAnswered = false;
            for (; !isAnswered && steadyMs() < end; ++node) {
                isAnswered = stateOf(deployment, id, node % deployment.nodes(), askTimeoutMs) != "";
                if (!isAnswered)
                    sleepMs(askPauseMs);
            }
            std::scoped_lock lock(mutex);
            if (isAnswered)
                open.erase(id);
            --asking;
        });
    }
    while (asking > 0)
        platform.run(100);
    for (auto& asker : askers)
        asker.join();
    deployment.record().add(std::to_string(accepted.size()) + " jobs were accepted; " + std::to_string(platform.kills())
        + " processes were killed for their memory");
    for (const auto& id : open)
        deployment.record().add(
            "LOST: job " + id + " was accepted and gets no answer, asked for from 14 to 59 s after the traffic");
    return open.empty() ? Verdict::Held : Verdict::Broken;
}

}
