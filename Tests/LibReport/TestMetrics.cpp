#include <CppUTest/TestHarness.h>
#include <LibReport/Metrics.h>
#include <ctime>
#include <fstream>
#include <limits>
#include <regex>
#include <set>
#include <thread>

using namespace Bergamot;
using namespace std::chrono_literals;

static std::unique_ptr<Metrics> createMetrics(MetricsOptions options = {})
{
    auto metrics = Metrics::create(options);
    CHECK(metrics.ok());
    return std::move(*metrics);
}

// Returns the value of the sample with this name and these labels, or -1 when it does not exist.
static double sampleOf(const Metrics& metrics, const std::string& series)
{
    const auto text = metrics.text();
    auto at = text.find("\n" + series + " ");
    return at == std::string::npos ? -1 : std::stod(text.substr(at + series.size() + 2));
}

TEST_GROUP(Metrics) {};

// Guards against undocumented metrics and against documentation of metrics that do not exist.
TEST(Metrics, DocumentationListsEveryMetricWithKindAndLabels)
{
    const std::string path = std::string(__FILE__) + "/../../../docs/operators/metrics.md";
    std::ifstream page(std::regex_replace(path, std::regex("/[^/]+/\\.\\./"), "/"));
    CHECK_TRUE_TEXT(page.good(), path.c_str());
    std::set<std::string> documented;
    const std::regex row(R"(\| `(bergamot_\w+)` \| (\w+) \| ([^|]*) \| [^|]+ \| [^|]+ \|)");
    std::smatch match;
    for (std::string line; std::getline(page, line);) {
        if (std::regex_match(line, match, row))
            documented.insert(match[1].str() + " " + match[2].str() + " " + match[3].str());
    }
    std::set<std::string> registered;
    for (const auto& family : createMetrics()->collect()) {
        const auto isCounter = family.type == prometheus::MetricType::Counter;
        const auto isGauge = family.type == prometheus::MetricType::Gauge;
        std::string labels;
        for (const auto& label : family.metric.at(0).label)
            labels += (labels.empty() ? "" : ", ") + label.name;
        registered.insert(family.name
            + (isCounter      ? " counter "
                    : isGauge ? " gauge "
                              : " histogram ")
            + (labels.empty() ? "none" : labels));
    }
    CHECK(!registered.empty());
    for (const auto& it : registered)
        CHECK_TRUE_TEXT(documented.contains(it), ("not on the page: " + it).c_str());
    for (const auto& it : documented)
        CHECK_TRUE_TEXT(registered.contains(it), ("not registered: " + it).c_str());
}

// Guards against an unbounded number of series from names that callers send.
TEST(Metrics, UnknownAndExcessLabelsCountAsOther)
{
    auto metrics = createMetrics({ .maxServices = 2, .maxZones = 1 });
    CHECK(metrics->admitService("a").ok());
    CHECK(metrics->admitService("b").ok());
    CHECK(metrics->admitService("a").ok());
    CHECK(metrics->admitService("c").code() == absl::StatusCode::kResourceExhausted);
    CHECK(metrics->admitService("").code() == absl::StatusCode::kInvalidArgument);
    CHECK(metrics->admitZone(std::string(129, 'z')).code() == absl::StatusCode::kInvalidArgument);
    CHECK(metrics->admitZone("z1").ok());
    metrics->recordRequest("b", "z1", "ok", 1ms);
    for (int i = 0; i < 100; ++i)
        metrics->recordRequest("c" + std::to_string(i), "z9", "strange", 1ms);
    metrics->recordRefusal("b", "strange");
    DOUBLES_EQUAL(1, sampleOf(*metrics, R"(bergamot_service_requests_total{outcome="ok",service="b"})"), 0);
    DOUBLES_EQUAL(100, sampleOf(*metrics, R"(bergamot_service_requests_total{outcome="other",service="other"})"), 0);
    DOUBLES_EQUAL(1, sampleOf(*metrics, R"(bergamot_service_latency_seconds_count{service="b",zone="z1"})"), 0);
    DOUBLES_EQUAL(
        100, sampleOf(*metrics, R"(bergamot_service_latency_seconds_count{service="other",zone="other"})"), 0);
    DOUBLES_EQUAL(1, sampleOf(*metrics, R"(bergamot_refusals_total{reason="other"})"), 0);
    DOUBLES_EQUAL(1, sampleOf(*metrics, R"(bergamot_service_requests_total{outcome="refused",service="b"})"), 0);
    CHECK_FALSE(Metrics::create({ .maxServices = 0 }).ok());
    CHECK_FALSE(Metrics::create({ .maxZones = Metrics::maxLabelCapacity + 1 }).ok());
}

// Guards against methods that update the series of another metric.
TEST(Metrics, EachMethodUpdatesOnlyItsOwnMetric)
{
    auto metrics = createMetrics();
    CHECK(metrics->admitZone("z1").ok());
    metrics->recordTaskEnded("evicted");
    metrics->recordEviction("zone_out");
    metrics->setZoneOut("z1", true);
    metrics->recordWorkWhileZoneOut(12.5);
    metrics->recordZoneOutTime(1500ms);
    metrics->recordDecision("place", 40us);
    metrics->setLogLag(7, 250ms);
    metrics->recordAppend(10ms, true);
    metrics->recordAppend(20ms, false);
    metrics->setLeaderEpoch(4, true);
    metrics->setConfigVersion(9);
    metrics->recordControlSent("peer", 80);
    metrics->recordControlReceived("log", 64);
    const std::pair<const char*, double> expected[] = {
        { R"(bergamot_batch_tasks_ended_total{outcome="evicted"})", 1 },
        { R"(bergamot_batch_tasks_ended_total{outcome="completed"})", 0 },
        { R"(bergamot_evictions_total{reason="zone_out"})", 1 },
        { R"(bergamot_zone_out{zone="z1"})", 1 },
        { "bergamot_zone_out_tasks_completed_total", 1 },
        { "bergamot_zone_out_core_seconds_total", 12.5 },
        { "bergamot_zone_out_seconds_total", 1.5 },
        { R"(bergamot_decisions_total{kind="place"})", 1 },
        { R"(bergamot_decision_seconds_bucket{le="5e-05"})", 1 },
        { R"(bergamot_decision_seconds_bucket{le="2e-05"})", 0 },
        { "bergamot_log_lag_records", 7 },
        { "bergamot_log_read_age_seconds", 0.25 },
        { "bergamot_log_append_seconds_count", 2 },
        { "bergamot_log_append_seconds_sum", 0.03 },
        { "bergamot_log_append_failures_total", 1 },
        { "bergamot_leader_epoch", 4 },
        { "bergamot_leader", 1 },
        { "bergamot_config_version", 9 },
        { R"(bergamot_control_bytes_total{channel="peer",direction="sent"})", 80 },
        { R"(bergamot_control_bytes_total{channel="log",direction="received"})", 64 },
    };
    for (const auto& [series, value] : expected)
        DOUBLES_EQUAL_TEXT(value, sampleOf(*metrics, series), 1e-9, series);
}

// Guards against sums that decrease or become NaN or infinite through invalid values.
TEST(Metrics, InvalidValuesDoNotCorruptSums)
{
    auto metrics = createMetrics();
    metrics->recordWorkWhileZoneOut(-5);
    metrics->recordWorkWhileZoneOut(std::numeric_limits<double>::quiet_NaN());
    metrics->recordWorkWhileZoneOut(std::numeric_limits<double>::infinity());
    metrics->recordZoneOutTime(-1s);
    metrics->recordAppend(-1s, true);
    DOUBLES_EQUAL(3, sampleOf(*metrics, "bergamot_zone_out_tasks_completed_total"), 0);
    DOUBLES_EQUAL(0, sampleOf(*metrics, "bergamot_zone_out_core_seconds_total"), 0);
    DOUBLES_EQUAL(0, sampleOf(*metrics, "bergamot_zone_out_seconds_total"), 0);
    DOUBLES_EQUAL(0, sampleOf(*metrics, "bergamot_log_append_seconds_sum"), 0);
}

// Guards against lost counts and against lookups that read a label value while another thread is still writing it.
TEST(Metrics, ConcurrentRecordsAndAdmissionsAreCounted)
{
    auto metrics = createMetrics({ .maxServices = 64 });
    {
        std::vector<std::jthread> threads;
        for (int t = 0; t < 4; ++t) {
            threads.emplace_back([&] {
                for (int i = 0; i < 64 * 100; ++i) {
                    const auto service = "s" + std::to_string(i / 100);
                    (void)metrics->admitService(service);
                    metrics->recordRequest(service, "z1", "ok", 1ms);
                }
            });
        }
    }
    for (int i = 0; i < 64; ++i) {
        const auto labels = R"({service="s)" + std::to_string(i) + R"(",zone="other"})";
        DOUBLES_EQUAL(400, sampleOf(*metrics, "bergamot_service_latency_seconds_count" + labels), 0);
    }
}

// Guards against counting CPU time twice and against attributing the CPU time of one thread to another.
TEST(Metrics, CpuTimeIsAttributedToItsThread)
{
    auto metrics = createMetrics();
    std::jthread([&] {
        // Waits for CPU time instead of wall time, so that the load of the machine does not affect the result.
        while (std::clock() < CLOCKS_PER_SEC / 20) { }
        timespec used {};
        while (used.tv_nsec < 20'000'000 && used.tv_sec == 0)
            clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
        metrics->sampleControlThread("control");
        metrics->sampleControlThread("control");
    }).join();
    metrics->sampleProcess();
    const auto control = sampleOf(*metrics, R"(bergamot_control_cpu_seconds_total{thread="control"})");
    CHECK(control >= 0.015);
    CHECK(sampleOf(*metrics, "bergamot_process_cpu_seconds_total") >= control);
    DOUBLES_EQUAL(0, sampleOf(*metrics, R"(bergamot_control_cpu_seconds_total{thread="peers"})"), 0);
    CHECK(sampleOf(*metrics, "bergamot_resident_memory_bytes") > 1e6);
}
