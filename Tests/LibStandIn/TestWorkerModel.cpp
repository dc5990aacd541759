#include <CppUTest/TestHarness.h>
#include <LibStandIn/Checkpoint.h>
#include <LibStandIn/HostList.h>
#include <LibStandIn/WorkerLayout.h>
#include <LibStandIn/WorkerModel.h>
#include <cstdlib>
#include <rapidcheck.h>
#include <set>

using namespace Bergamot;

static constexpr int64_t clockOffset = 500;

static Instant at(int64_t ms) { return Instant(Milliseconds(ms)); }

static TaskStart startOf(JobId job, uint32_t attempt, int64_t cpuMillis = 1000)
{
    return { .task = { std::move(job), attempt },
        .kind = "k",
        .size = { cpuMillis, 100, 0 },
        .runMs = 1000,
        .leaseUntilMs = 100'000 };
}

TEST_GROUP(WorkerModel)
{
    WorkerModel worker {
        { .id = "w", .zone = "z1", .capacity = { 4000, 1000, 0 }, .slots = 2, .clockOffsetMs = clockOffset }
    };
};

// Guards against task starts after the lease has expired by the worker's own clock, which P4 relies on.
TEST(WorkerModel, ExpiredStartIsRejectedAndFenced)
{
    auto start = startOf("j", 1);
    start.leaseUntilMs = 1000 + clockOffset;
    auto reply = worker.start(start, at(1000));
    CHECK(reply.result == StartResult::Refused);
    STRCMP_EQUAL("lease_lapsed", reply.reason.c_str());
    start.leaseUntilMs = 9000;
    STRCMP_EQUAL("fenced", worker.start(start, at(1001)).reason.c_str());
    CHECK(worker.taskRecords().empty());
    CHECK(worker.start(startOf("j", 2), at(1002)).result == StartResult::Started);
}

// Guards against a repeated start command that runs the task twice, and against starts of superseded attempts.
TEST(WorkerModel, RepeatedAndStaleStarts)
{
    CHECK(worker.start(startOf("j", 2), at(0)).result == StartResult::Started);
    CHECK(worker.start(startOf("j", 2), at(1)).result == StartResult::AlreadyRunning);
    STRCMP_EQUAL("stale_attempt", worker.start(startOf("j", 1), at(2)).reason.c_str());
    CHECK(worker.start(startOf("j", 2), at(1500)).result == StartResult::AlreadyEnded);
    CHECK_EQUAL(1U, worker.taskRecords().size());
    STRCMP_EQUAL("completed", worker.taskRecords()[0].outcome.c_str());
    CHECK_EQUAL(1000, *worker.taskRecords()[0].endMs);
}

// Guards against a commitment beyond capacity that is accepted or not counted.
TEST(WorkerModel, OverCommitmentIsRejectedAndCounted)
{
    CHECK(worker.start(startOf("a", 1, 3000), at(0)).result == StartResult::Started);
    STRCMP_EQUAL("no_capacity", worker.start(startOf("b", 1, 1001), at(1)).reason.c_str());
    CHECK_EQUAL(1, worker.record().overCommitAttempts);
    CHECK(worker.record().highest == (Resources { 3000, 100, 0 }));
}

// Guards against a stop after which the attempt can still start, and against a resumption that loses progress.
TEST(WorkerModel, StopFencesAndCheckpointResumes)
{
    CHECK(worker.stop({ "late", 1 }, true, at(0)).ended.outcome == TaskOutcome::Refused);
    STRCMP_EQUAL("fenced", worker.start(startOf("late", 1), at(1)).reason.c_str());
    CHECK(worker.start(startOf("j", 1), at(10)).result == StartResult::Started);
    auto stopped = worker.stop({ "j", 1 }, true, at(510));
    CHECK(stopped.ended.outcome == TaskOutcome::Evicted);
    STRCMP_EQUAL("j#1#500", stopped.ended.checkpoint.c_str());
    CHECK(worker.stop({ "j", 1 }, false, at(511)).ended == stopped.ended);
    auto resumed = startOf("j", 2);
    resumed.checkpoint = stopped.ended.checkpoint;
    CHECK(worker.start(resumed, at(600)).result == StartResult::Started);
    worker.advance(at(2000));
    CHECK_EQUAL(1100, *worker.taskRecords()[1].endMs);
    auto foreign = startOf("other", 1);
    foreign.checkpoint = "j#1#500";
    STRCMP_EQUAL("bad_checkpoint", worker.start(foreign, at(2000)).reason.c_str());
}

// Guards against tasks that outlive their lease, and against ended tasks that are reported only once.
TEST(WorkerModel, LeaseExpiresAndEndedTaskIsReportedUntilAcknowledged)
{
    auto start = startOf("j", 1);
    start.leaseUntilMs = 300 + clockOffset;
    CHECK(worker.start(start, at(0)).result == StartResult::Started);
    auto report = worker.renew({ .leaseUntilMs = 600 + clockOffset, .tasks = { { "j", 1 } } }, at(250));
    CHECK_EQUAL(250, report.running.at(0).progressPerMille);
    CHECK(worker.checkpoint({ "j", 1 }, at(400)).ok());
    for (int i = 0; i < 2; ++i) {
        report = worker.renew({}, at(700));
        CHECK(report.ended.at(0).outcome == TaskOutcome::Lost);
        STRCMP_EQUAL("j#1#400", report.ended.at(0).checkpoint.c_str());
    }
    CHECK_EQUAL(600, *worker.taskRecords()[0].endMs);
    report = worker.renew({ .acknowledged = { { "j", 1 } } }, at(701));
    CHECK(report.ended.empty());
    CHECK(worker.taskRecords()[0].acknowledged);
}

// Guards against throttling, start faults and crashes that have no effect.
TEST(WorkerModel, ThrottleAndStartFaults)
{
    CHECK(worker.start(startOf("j", 1), at(0)).result == StartResult::Started);
    CHECK(worker.throttle({ "j", 1 }, 50, at(0)).ok());
    CHECK(absl::IsNotFound(worker.throttle({ "x", 1 }, 50, at(0))));
    CHECK(absl::IsInvalidArgument(worker.throttle({ "j", 1 }, 0, at(0))));
    CHECK_EQUAL(500, worker.renew({}, at(1000)).running.at(0).progressPerMille);
    worker.setStartFault(StartFault::Fail);
    CHECK(worker.start(startOf("f", 1), at(1000)).result == StartResult::Started);
    worker.advance(at(1100));
    STRCMP_EQUAL("failed", worker.taskRecords()[1].outcome.c_str());
    worker.setStartFault(StartFault::Refuse);
    STRCMP_EQUAL("start_failed", worker.start(startOf("g", 1), at(1101)).reason.c_str());
    worker.loseEverything(at(1200));
    STRCMP_EQUAL("lost", worker.taskRecords()[0].outcome.c_str());
    CHECK(worker.renew({}, at(1201)).ended.empty());
}

// Guards against more concurrent quick requests than slots, and against tasks on the same worker that do not slow down
// quick requests.
TEST(WorkerModel, SlotsAndInterference)
{
    auto first = worker.beginRequest({ .service = "s", .key = "k1" }, at(0));
    CHECK(first.ok());
    CHECK(worker.beginRequest({ .service = "s", .key = "k2" }, at(0)).ok());
    CHECK(absl::IsResourceExhausted(worker.beginRequest({ .service = "s" }, at(0)).status()));
    worker.endRequest(first->slot, at(4));
    CHECK(worker.beginRequest({ .service = "s" }, at(5)).ok());
    CHECK_EQUAL(2, worker.record().highestSlots);
    CHECK_EQUAL(3U, worker.executionRecords().size());
    CHECK_EQUAL(4, *worker.executionRecords()[0].endMs);

    WorkerModelOptions options { .id = "w", .capacity = { 4000, 1000, 0 }, .seed = 3 };
    WorkerModel quiet(options);
    WorkerModel noisy(options);
    CHECK(noisy.start(startOf("noise", 1, 4000), at(0)).result == StartResult::Started);
    CHECK(noisy.beginRequest({ .service = "s" }, at(1))->serviceTime
        > quiet.beginRequest({ .service = "s" }, at(1))->serviceTime);
}

// Guards against an attempt that starts twice, commitments beyond capacity and records that end before they start.
TEST(WorkerModel, RandomCallsKeepTheRecordsValid)
{
    setenv("RC_PARAMS", "seed=11", 0);
    CHECK(rc::check([] {
        WorkerModel model({ .id = "w", .capacity = { 4000, 1000, 0 }, .seed = 5, .clockOffsetMs = 7 });
        int64_t now = 1;
        std::set<TaskId> started;
        for (int i = 0; i < 60; ++i) {
            now += *rc::gen::inRange(0, 400);
            TaskId id { std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 4))),
                *rc::gen::inRange<uint32_t>(1, 4) };
            auto action = *rc::gen::inRange(0, 4);
            if (action == 0) {
                auto start = startOf(id.job, id.attempt, *rc::gen::inRange(0, 3000));
                start.leaseUntilMs = now + *rc::gen::inRange(-100, 800);
                if (model.start(start, at(now)).result == StartResult::Started)
                    RC_ASSERT(started.insert(id).second);
            } else if (action == 1) {
                model.renew({ .leaseUntilMs = now + 500, .tasks = { id }, .acknowledged = { id } }, at(now));
            } else if (action == 2) {
                model.stop(id, true, at(now));
            } else {
                RC_ASSERT(model.throttle(id, 30, at(now)).ok() || started.size() <= 16);
            }
            RC_ASSERT(model.committed().fitsIn({ 4000, 1000, 0 }));
        }
        for (const auto& record : model.taskRecords())
            RC_ASSERT(!record.endMs || *record.endMs >= record.startMs);
        RC_ASSERT(model.taskRecords().size() == started.size());
    }));
}

// Guards against checkpoint texts that do not round-trip and against malformed texts that are accepted.
TEST(WorkerModel, CheckpointText)
{
    Checkpoint checkpoint { { "a#b", 3 }, 250 };
    CHECK(*Checkpoint::parse(checkpoint.text()) == checkpoint);
    for (const auto* bad : { "", "#", "j#1", "j#x#1", "j#1#", "j#1#1001", "j#1#-1" })
        CHECK(!Checkpoint::parse(bad).ok());
}

// Guards against a host list without lag, which would hide decisions that are based on a stale list.
TEST(WorkerModel, HostListLags)
{
    HostList hosts(
        { WorkerLayout().host(1, 1), WorkerLayout().host(1, 9), WorkerLayout().host(2, 1) }, Milliseconds(100));
    STRCMP_EQUAL("a-r2", hosts.visibleHosts(at(0))[1].rack.c_str());
    CHECK(hosts.setZoneState("a", HostState::Leaving, at(50)).ok());
    CHECK(hosts.setHostState("a-w1", HostState::Gone, at(60)).ok());
    CHECK(absl::IsNotFound(hosts.setHostState("none", HostState::Gone, at(60))));
    CHECK(!hosts.visibleHosts(at(149))[0].leaving);
    CHECK(hosts.visibleHosts(at(150))[0].leaving);
    CHECK_EQUAL(2U, hosts.visibleHosts(at(160)).size());
}
