#include <CppUTest/TestHarness.h>
#include <LibReport/NodeMetrics.h>
#include <chrono>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

using namespace Bergamot;

TEST_GROUP(NodeMetrics) {};

static std::string readDocumentation()
{
    std::ifstream file(
        std::string(__FILE__).substr(0, std::string(__FILE__).rfind('/')) + "/../../docs/operators/node-metrics.md");
    return { std::istreambuf_iterator<char>(file), {} };
}

static void recordEachOnce(NodeMetrics& metrics)
{
    metrics.recordSubmission("accepted", std::chrono::milliseconds { 5 });
    metrics.recordQuery("state", "found", std::chrono::milliseconds { 5 });
    metrics.recordStart("accepted");
    metrics.recordRunEnd("done");
    metrics.recordTaskCommand("pace");
    metrics.recordStop("slow");
    metrics.recordJobEnd("completed");
    metrics.setOldestWait("no_worker", std::chrono::milliseconds { 2500 });
    metrics.recordElection();
    metrics.recordOmittedRecords(1);
    metrics.recordTakeover(std::chrono::milliseconds { 300 });
}

// Guards against metrics that the operators' documentation does not list or lists with another kind or label.
TEST(NodeMetrics, DocumentationListsEveryMetric)
{
    NodeMetrics metrics;
    recordEachOnce(metrics);
    auto page = readDocumentation();
    size_t rows = 0;
    for (size_t at = page.find("| `bergamot_"); at != std::string::npos; at = page.find("| `bergamot_", at + 1))
        ++rows;
    CHECK_EQUAL(metrics.collect().size(), rows);
    for (const auto& family : metrics.collect()) {
        std::string kind = family.type == prometheus::MetricType::Counter ? "counter"
            : family.type == prometheus::MetricType::Gauge                ? "gauge"
                                                                          : "histogram";
        std::set<std::string> names;
        for (const auto& metric : family.metric) {
            for (const auto& label : metric.label)
                names.insert(label.name);
        }
        std::string labels;
        for (const auto& name : names)
            labels += (labels.empty() ? "" : ", ") + name;
        auto row = "| `" + family.name + "` | " + kind + " | " + (labels.empty() ? "none" : labels) + " |";
        CHECK_TEXT(page.find(row) != std::string::npos, row.c_str());
    }
}

// Guards against an unbounded number of series from label values that callers send.
TEST(NodeMetrics, UnknownLabelValuesCountAsOther)
{
    NodeMetrics metrics;
    metrics.recordStart("made up");
    metrics.recordStart("made up too");
    CHECK(metrics.text().find(R"(bergamot_node_starts_total{outcome="other"} 2)") != std::string::npos);
}

// Guards against a wait that operators see with another unit or under another reason.
TEST(NodeMetrics, OldestWaitIsInSeconds)
{
    NodeMetrics metrics;
    metrics.setOldestWait("crash_suspicion", std::chrono::milliseconds { 2500 });
    metrics.setOldestWait("no_worker", std::chrono::milliseconds { 0 });
    CHECK(
        metrics.text().find(R"(bergamot_node_oldest_wait_seconds{reason="crash_suspicion"} 2.5)") != std::string::npos);
    CHECK(metrics.text().find(R"(bergamot_node_oldest_wait_seconds{reason="no_worker"} 0)") != std::string::npos);
}
