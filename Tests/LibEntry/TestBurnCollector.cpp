#include <CppUTest/TestHarness.h>
#include <LibEntry/BurnCollector.h>
#include <optional>

using namespace Bergamot;
using namespace std::chrono_literals;

TEST_GROUP(BurnCollector)
{
    BurnCollector collector;
    std::optional<BurnReport> report;

    uint64_t startReport(std::set<MemberId> peers)
    {
        return collector.startReport(
            { .member = "e1" }, std::move(peers), Instant {}, [this](const auto& it) { report = it; });
    }
};

// Guards against a report that omits the data of a member without listing the member as missing.
TEST(BurnCollector, ListsMembersWithoutTimelyReplyAsMissing)
{
    auto requestId = startReport({ "e2", "e3" });
    collector.receiveReply(requestId, "e2", encodeBurnSlice({ .member = "e2" }));
    collector.tick(Instant { 999ms });
    CHECK_FALSE(report.has_value());
    collector.tick(Instant { 1000ms });
    CHECK(report.has_value());
    LONGS_EQUAL(2, report->hosts.size());
    CHECK(report->missingHosts == std::vector<MemberId> { "e3" });
}

// Guards against a report that accepts a malformed or repeated reply, a reply with the data of another member, or a
// reply to another request.
TEST(BurnCollector, IgnoresUnexpectedReplies)
{
    auto requestId = startReport({ "e2", "e3" });
    collector.receiveReply(requestId + 1, "e2", encodeBurnSlice({ .member = "e2" }));
    collector.receiveReply(requestId, "e2", "no json");
    collector.receiveReply(requestId, "e2", encodeBurnSlice({ .member = "e9" }));
    collector.receiveReply(requestId, "e3", encodeBurnSlice({ .member = "e3" }));
    collector.receiveReply(requestId, "e3", encodeBurnSlice({ .member = "e3" }));
    CHECK_FALSE(report.has_value());
    collector.receiveReply(requestId, "e2", encodeBurnSlice({ .member = "e2" }));
    CHECK(report.has_value());
    LONGS_EQUAL(3, report->hosts.size());
    CHECK(report->missingHosts.empty());
}
