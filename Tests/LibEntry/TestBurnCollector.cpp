#include <CppUTest/TestHarness.h>
#include <LibEntry/BurnCollector.h>
#include <optional>

using namespace Bergamot;
using namespace std::chrono_literals;

TEST_GROUP(BurnCollector)
{
    BurnCollector collector;
    std::optional<BurnReport> report;

    uint64_t begin(std::set<MemberId> peers)
    {
        return collector.begin(
            { .member = "e1" }, std::move(peers), Instant {}, [this](const auto& it) { report = it; });
    }
};

// Guards against a report that leaves out the figures of a host without naming it.
TEST(BurnCollector, NamesMembersThatDoNotAnswerInTime)
{
    auto request = begin({ "e2", "e3" });
    collector.answered(request, "e2", encodeBurnSlice({ .member = "e2" }));
    collector.tick(Instant { 999ms });
    CHECK_FALSE(report.has_value());
    collector.tick(Instant { 1000ms });
    CHECK(report.has_value());
    LONGS_EQUAL(2, report->hosts.size());
    CHECK(report->missing == std::vector<MemberId> { "e3" });
}

// Guards against answers that are malformed, repeated, of another member or of another report.
TEST(BurnCollector, IgnoresAnswersThatAreNotAwaited)
{
    auto request = begin({ "e2", "e3" });
    collector.answered(request + 1, "e2", encodeBurnSlice({ .member = "e2" }));
    collector.answered(request, "e2", "no json");
    collector.answered(request, "e2", encodeBurnSlice({ .member = "e9" }));
    collector.answered(request, "e3", encodeBurnSlice({ .member = "e3" }));
    collector.answered(request, "e3", encodeBurnSlice({ .member = "e3" }));
    CHECK_FALSE(report.has_value());
    collector.answered(request, "e2", encodeBurnSlice({ .member = "e2" }));
    CHECK(report.has_value());
    LONGS_EQUAL(3, report->hosts.size());
    CHECK(report->missing.empty());
}
