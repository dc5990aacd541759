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

// Guards against a node without configuration because another record of the operators cannot be read.
TEST(NodePoison, OperatorRecordsAreLeftOut)
{
    for (const auto& bytes : poison) {
        store.put(StreamName::Operators, "config", bytes);
        store.put(StreamName::Operators, "evacuate/\xff", bytes);
        store.put(StreamName::Operators, "", bytes);
    }
    configure(8);
    checkNodeWorks();
    store.put(StreamName::Operators, "config", "later poison");
    advance(Milliseconds { 1000 });
    CHECK(node->routing() != nullptr);
    CHECK_EQUAL(8, node->routing()->version);
}

// Guards against a leader that ends on a worker's entry, or that does not use the other workers.
TEST(NodePoison, WorkerRecordsAreLeftOut)
{
    for (const auto& bytes : poison)
        store.put(StreamName::Workers, "poison" + bytes.substr(0, 3), bytes);
    store.put(StreamName::Workers, "", "x");
    checkNodeWorks();
}

// Guards against a leader that gives up a worker, or no longer starts tasks on it, because another writer has left an
// entry under its key: one that cannot be read, or one of a later incarnation that does not exist.
TEST(NodePoison, WorkerRecordsUnderTheKeyOfAWorkerAreLeftOut)
{
    restartNode();
    advance(Milliseconds { 9000 });
    CHECK_EQUAL(2, startsOf(job));
    auto entries = poison;
    for (int64_t startedAtMs : { workerStartMs + 1, int64_t { 1 } << 50 }) {
        auto text = fmt::format("worker started at {}", startedAtMs);
        formats.workers[text]
            = { .view = { .id = "w1", .service = "token", .zone = "z", .capacity = { 30000, 30000, 0 } },
                  .address = "w1",
                  .startedAtMs = startedAtMs };
        entries.push_back(text);
    }
    int n = 0;
    for (const auto& text : entries) {
        store.put(StreamName::Workers, "w1", text);
        advance(Milliseconds { 1500 });
        auto id = fmt::format("after{}", ++n);
        putJob(id);
        advance(Milliseconds { 1500 });
        CHECK_EQUAL_TEXT(2, startsOf(id), id.c_str());
    }
    CHECK_EQUAL(2, startsOf(job));
    CHECK(ask(JobQueryKind::State, job)->state == JobStage::Running);
}

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

// Guards against each leader in turn ending on what an earlier one should have stored.
TEST(NodePoison, ProgressRecordsAreLeftOut)
{
    for (const auto& bytes : poison) {
        store.put(StreamName::Progress, fmt::format("{}poison", jobKeyPrefix), bytes);
        store.put(StreamName::Progress, assignedWorkersKey, bytes);
        store.put(StreamName::Progress, pressuresKey, bytes);
        store.put(StreamName::Progress, "unknown" + bytes.substr(0, 3), bytes);
    }
    checkNodeWorks();
}

// Guards against a leader that ends on readable progress that does not match its job.
TEST(NodePoison, ProgressOfAnotherShapeIsHandled)
{
    putJob("shape", 3);
    JobProgress progress { .id = "shape", .state = JobStage::Running, .done = { "0000000000000", "11", "", "x" } };
    constexpr auto max32 = std::numeric_limits<uint32_t>::max();
    progress.failedRuns
        = { { max32, 0, 0, 1 }, { 0, max32, 0, 1 }, { 0, 0, max32, 1 }, { 0, 7, 7, 1 }, { 0, 0, 3, 1 } };
    putProgress(progress);
    store.put(StreamName::Progress, assignedWorkersKey,
        encodeValue(AssignedWorkers { .workers
            = { { "", "", -1 }, { "\xff", "\n", 1 }, { "w1", "w1", workerStartMs }, { "w1", "w1", workerStartMs } } }));
    store.put(StreamName::Progress, pressuresKey,
        encodeValue(PressureRecord { .baseTailLatencies = { { "a", std::numeric_limits<double>::quiet_NaN() } },
            .pairs = { { "b", "a", -1 } } }));
    checkNodeWorks();
}

// Guards against a cluster without a leader because of a record of the leadership stream.
TEST(NodePoison, LeadershipRecordsAreLeftOut)
{
    for (const auto& bytes : poison)
        store.put(StreamName::Leadership, "", bytes);
    for (uint64_t epoch : { uint64_t { 0 }, uint64_t { 5 }, candidacyEpoch - 1, candidacyEpoch })
        store.put(StreamName::Leadership, "",
            encodeValue(LeadershipRecord { .epoch = epoch, .cpuMillis = std::numeric_limits<int64_t>::max() }));
    checkNodeWorks();
    for (const auto& bytes : poison)
        store.put(StreamName::Leadership, "", bytes);
    advance(Milliseconds { 2000 });
    CHECK(ask(JobQueryKind::State, job).has_value());
}

// Guards against a node that ends on a message from another node.
TEST(NodePoison, PeerMessagesAreLeftOut)
{
    restartNode();
    advance(Milliseconds { 3000 });
    for (const auto& bytes : poison)
        peers.deliver(bytes);
    std::mt19937_64 random(5);
    const auto valid = encodePeerMessage(
        JobQuery { .queryId = 3, .replyAddress = "caller", .kind = JobQueryKind::Cancel, .subject = "unknown" });
    for (int i = 0; i < 2000; ++i) {
        auto bytes = valid;
        bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(bytes.size() - random() % 2);
        peers.deliver(bytes);
    }
    advance(Milliseconds { 1000 });
    peers.sent.clear();
    CHECK(ask(JobQueryKind::State, job)->state == JobStage::Running);
}
