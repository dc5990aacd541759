#include "NodeFixture.h"
#include <LibWire/AssignedWorkers.h>
#include <LibWire/LeadershipRecord.h>
#include <LibWire/PressureRecord.h>
#include <limits>
#include <random>

using namespace Bergamot;

/// Each test puts a malformed record into one stream. The node must go on, also after a restart with that record.
TEST_GROUP_BASE(NodePoison, NodeFixture)
{
    const std::string job { "00000000000000aa" };

    /// Bytes that no decoder accepts, or that announce more than a process can hold.
    const std::vector<std::string> poison { "x", std::string(1, '\0'), "\xff\xff\xff\xff", "\xdd\xff\xff\xff\xff",
        "\xdb\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff", std::string(1000, '\x91'), std::string(300, '\xc1'),
        "{\"version\":", "\x90", "\x91\xc0", "\x99\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0" };

    void setup() override
    {
        configure(7);
        announce("w1");
        putJob(job);
    }

    /// Starts the node twice. Checks each time that it starts the job, and that it still answers.
    void checkNodeWorks()
    {
        for (int i = 0; i < 2; ++i) {
            restartNode();
            advance(Milliseconds { 9000 });
            CHECK(node->isReady());
            CHECK_EQUAL(2, startsOf(job));
            auto reply = ask(JobQueryKind::State, job);
            CHECK(reply.has_value());
            CHECK(reply->status == JobQueryStatus::Found);
            CHECK(reply->state == JobStage::Running);
        }
    }
};

// Guards against each leader in turn ending on a job that cannot be read or held.
TEST(NodePoison, JobRecordsAreLeftOut)
{
    int n = 0;
    for (const auto& bytes : poison)
        store.put(StreamName::Jobs, fmt::format("poison{}", ++n), bytes);
    auto put = [&](const std::string& id, const auto& change) {
        JobSpec spec { .id = id, .queue = "batch", .steps = { { .count = 1, .size = { 1000, 1000, 0 } } } };
        change(spec);
        store.put(StreamName::Jobs, id, encodeValue(spec));
    };
    put("manyTasks", [](JobSpec& it) { it.steps[0].count = std::numeric_limits<uint32_t>::max(); });
    put("manyTimes", [](JobSpec& it) { it.repeats = std::numeric_limits<uint32_t>::max(); });
    put("later", [](JobSpec& it) { it.steps[0].dependsOn = { 7 }; });
    put("negative", [](JobSpec& it) { it.steps[0].size.cpuMillis = std::numeric_limits<int64_t>::min(); });
    put("times", [](JobSpec& it) {
        it.repeats = 9;
        it.firstDueMs = std::numeric_limits<int64_t>::max();
    });
    put("\xff", [](JobSpec& it) { it.payload = "\xff"; });
    put("", [](JobSpec&) {});
    checkNodeWorks();
    for (const auto* id : { "manyTasks", "manyTimes", "later", "negative", "times" })
        CHECK(ask(JobQueryKind::State, id)->status == JobQueryStatus::Unknown);
}
