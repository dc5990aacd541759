#include <LibReport/BurnFormat.h>
#include <LibReport/BurnTracker.h>
#include <LibReport/Metrics.h>
#include <algorithm>
#include <array>
#include <chrono>
#include <fmt/format.h>
#include <functional>
#include <sys/resource.h>
#include <thread>

using namespace Bergamot;
using namespace std::chrono_literals;
using SteadyTime = std::chrono::steady_clock;

// Measures the cost of recording and reporting and prints it as JSON lines. The input is deterministic, so there is no
// random seed.

static constexpr int64_t recordsPerThread = 1'000'000;
static constexpr int rounds = 5;
static const std::array<std::string, 4> services { "tokens", "compile", "tables", "not-admitted" };
static const std::array<std::string, 4> zones { "z1", "z2", "z3", "not-admitted" };

static double measureSeconds(const std::function<void()>& work)
{
    const auto start = SteadyTime::now();
    work();
    return std::chrono::duration<double>(SteadyTime::now() - start).count();
}

// Returns the wall time of one record() call per thread in nanoseconds, as the median of all rounds.
static double measureNanosecondsPerRecord(int threads, const std::function<void(int64_t)>& record)
{
    std::vector<double> results;
    for (int round = 0; round < rounds; ++round) {
        const auto seconds = measureSeconds([&] {
            std::vector<std::jthread> recordingThreads;
            recordingThreads.reserve(static_cast<size_t>(threads));
            for (int i = 0; i < threads; ++i) {
                recordingThreads.emplace_back([&] {
                    for (int64_t n = 0; n < recordsPerThread; ++n)
                        record(n);
                });
            }
        });
        results.push_back(seconds * 1e9 / recordsPerThread);
    }
    std::ranges::nth_element(results, results.begin() + rounds / 2);
    return results[rounds / 2];
}

static long peakMemoryKb()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

static void benchMetrics()
{
    auto metrics = *Metrics::create({});
    for (size_t i = 0; i < 3; ++i) {
        (void)metrics->admitService(services[i]);
        (void)metrics->admitZone(zones[i]);
    }
    const auto record = [&](int64_t n) {
        const auto i = static_cast<size_t>(n);
        metrics->recordRequest(services[i % 4], zones[i / 4 % 4], "ok", std::chrono::microseconds(n % 5000));
    };
    for (int threads : { 1, 4 }) {
        fmt::print(R"({{"bench":"metrics_record_request","threads":{},"ns":{:.0f}}})"
                   "\n",
            threads, measureNanosecondsPerRecord(threads, record));
    }
    size_t bytes = 0;
    const auto seconds = measureSeconds([&] { bytes = metrics->text().size(); });
    fmt::print(R"({{"bench":"metrics_text","bytes":{},"us":{:.0f}}})"
               "\n",
        bytes, seconds * 1e6);
}

static void benchBurn()
{
    const auto before = peakMemoryKb();
    std::vector<BurnObjective> objectives;
    for (size_t i = 0; i < 3; ++i)
        objectives.push_back({ .service = services[i], .latencyTarget = 50ms, .objectivePercent = 99.5 });
    auto tracker = *BurnTracker::create({ .member = "e1" }, objectives, 1, epochInstant);
    std::vector<std::string> clients(400);
    for (size_t i = 0; i < clients.size(); ++i)
        clients[i] = fmt::format("client-{}", i);
    // 400 clients with 3 services and 4 zones need more than the limit of 1024 series.
    const auto record = [&](int64_t n) {
        const auto i = static_cast<size_t>(n);
        (void)tracker->record(services[i % 3], clients[i % clients.size()], zones[i / 7 % 4], true,
            std::chrono::microseconds(n % 60'000), epochInstant + Milliseconds(n * 10));
    };
    for (int threads : { 1, 4 }) {
        fmt::print(R"({{"bench":"burn_record","threads":{},"ns":{:.0f}}})"
                   "\n",
            threads, measureNanosecondsPerRecord(threads, record));
    }
    BurnSlice slice;
    auto seconds = measureSeconds([&] { slice = tracker->slice(epochInstant + Milliseconds(recordsPerThread * 10)); });
    fmt::print(R"({{"bench":"burn_slice","series":{},"memory_kb":{},"us":{:.0f}}})"
               "\n",
        slice.series.size(), peakMemoryKb() - before, seconds * 1e6);
    std::string json;
    seconds = measureSeconds([&] { json = encodeBurnSlice(slice); });
    fmt::print(R"({{"bench":"burn_encode","bytes":{},"us":{:.0f}}})"
               "\n",
        json.size(), seconds * 1e6);
    std::vector<BurnSlice> slices;
    for (int i = 0; i < 9; ++i) {
        slices.push_back(*decodeBurnSlice(json));
        slices.back().member = fmt::format("e{}", i);
    }
    size_t bytes = 0;
    seconds = measureSeconds([&] { bytes = formatBurnHtml(mergeBurn(slices, {})).size(); });
    fmt::print(R"({{"bench":"burn_merge_html","hosts":9,"bytes":{},"us":{:.0f}}})"
               "\n",
        bytes, seconds * 1e6);
}

int main()
{
    benchMetrics();
    benchBurn();
    return 0;
}
