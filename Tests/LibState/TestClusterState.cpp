#include <CheckProperty.h>
#include <CppUTest/TestHarness.h>
#include <LibState/ClusterState.h>
#include <map>
#include <random>

using namespace Bergamot;

namespace {

/// Applies batches of several senders to a state and assigns their sequences and log positions.
class Log {
public:
    ApplyResult append(const MemberId& member, std::vector<Record> records, int64_t timeMs = 0)
    {
        RecordBatch batch {
            .member = member, .incarnation = 1, .sequence = ++m_sequences[member], .records = std::move(records)
        };
        m_last = batch;
        return state.apply(batch, m_position++, timeMs);
    }

    bool accepts(const MemberId& member, Record record, int64_t timeMs = 0)
    {
        return append(member, { std::move(record) }, timeMs).statuses.at(0).ok();
    }

    ApplyResult repeatLast() { return state.apply(m_last, m_position++, 0); }

    ClusterState state;

private:
    std::map<MemberId, uint64_t> m_sequences;
    RecordBatch m_last;
    LogPosition m_position { 0 };
};

void setUpLeaderAndWorkers(Log& log)
{
    CHECK(log.accepts("e1", MemberJoined { .member = "e1", .incarnation = 1, .zone = "a" }));
    CHECK(log.accepts("e2", MemberJoined { .member = "e2", .incarnation = 1, .zone = "b" }));
    CHECK(log.accepts("e1", LeaderClaimed { .epoch = 1 }));
    for (const char* worker : { "w1", "w2" })
        CHECK(log.accepts("e1",
            WorkerListed { .epoch = 1,
                .worker = worker,
                .zone = worker == std::string("w1") ? "a" : "b",
                .capacity = { .cpuMillis = 4000, .memoryMb = 8000, .accelerators = 1 } }));
}

JobSubmitted job(const JobId& id, int64_t cpuMillis = 3000)
{
    return { .job = id, .kind = "k", .team = "t", .client = "c", .size = { .cpuMillis = cpuMillis, .memoryMb = 100 } };
}

TaskIntent intent(const JobId& id, uint32_t attempt, const WorkerId& worker, uint64_t epoch = 1)
{
    return { .epoch = epoch, .job = id, .attempt = attempt, .worker = worker };
}

}

TEST_GROUP(ClusterState)
{
    Log log;

    void setup() override { setUpLeaderAndWorkers(log); }
};

// Guards against a paused former leader that places tasks after another member has taken over.
TEST(ClusterState, RecordsOfAnOldEpochAreIgnored)
{
    CHECK(log.accepts("e2", job("j1")));
    CHECK(log.accepts("e2", LeaderClaimed { .epoch = 2 }));
    CHECK_FALSE(log.accepts("e1", intent("j1", 1, "w1", 1)));
    CHECK_FALSE(log.accepts("e1", intent("j1", 1, "w1", 2)));
    CHECK(log.accepts("e2", intent("j1", 1, "w1", 2)));
}

// Guards against two members that are both accepted as the leader of the same epoch.
TEST(ClusterState, OnlyOneClaimOfAnEpochIsAccepted)
{
    CHECK(log.accepts("e2", LeaderClaimed { .epoch = 2 }));
    CHECK_FALSE(log.accepts("e1", LeaderClaimed { .epoch = 2 }));
    CHECK(log.state.image().leader.member == "e2");
}

// Guards against commitments beyond the processors, memory or accelerators of a worker.
TEST(ClusterState, IntentsBeyondCapacityAreIgnored)
{
    CHECK(log.accepts("e2", job("j1")));
    CHECK(log.accepts("e2", job("j2")));
    CHECK(log.accepts("e1", intent("j1", 1, "w1")));
    CHECK_FALSE(log.accepts("e1", intent("j2", 1, "w1")));
    CHECK(log.accepts("e1", intent("j2", 1, "w2")));
}

// Guards against a job that runs on two workers at the same time.
TEST(ClusterState, NoSecondAttemptBeforeTheFirstHasEnded)
{
    CHECK(log.accepts("e2", job("j1")));
    CHECK(log.accepts("e1", intent("j1", 1, "w1")));
    CHECK_FALSE(log.accepts("e1", intent("j1", 2, "w2")));
    CHECK(log.accepts("e1", TaskRevoked { .epoch = 1, .job = "j1", .attempt = 1 }));
    CHECK_FALSE(log.accepts("e1", intent("j1", 2, "w2")));
    CHECK(
        log.accepts("e2", TaskEnded { .job = "j1", .attempt = 1, .outcome = TaskOutcome::Evicted, .checkpoint = "c" }));
    CHECK_FALSE(log.accepts("e1", intent("j1", 1, "w2")));
    CHECK(log.accepts("e1", intent("j1", 2, "w2")));
    STRCMP_EQUAL("c", log.state.findJob("j1")->checkpoint.c_str());
}

// Guards against crashes that are forgotten with the process that has seen them, and against counting other ends.
TEST(ClusterState, CrashesAreKeptWithTheJob)
{
    CHECK(log.accepts("e2", job("j1")));
    uint32_t attempt = 0;
    for (uint32_t tasks : { 0u, 1u, 3u }) {
        CHECK(log.accepts("e1", intent("j1", ++attempt, "w1")));
        CHECK(log.accepts("e2",
            TaskEnded { .job = "j1", .attempt = attempt, .outcome = TaskOutcome::Evicted, .crashedTasks = tasks }));
    }
    auto copy = ClusterState::decodeSnapshot(log.state.encodeSnapshot());
    CHECK(copy.ok());
    LONGS_EQUAL(2, copy->findJob("j1")->crashes);
    LONGS_EQUAL(1, copy->findJob("j1")->crashesAlone);
    CHECK(copy->findJob("j1")->phase == JobPhase::Pending);
}

// Guards against a job that completes twice, and against a loss that is declared by a member other than the leader.
TEST(ClusterState, FirstCompletionIsTheOutcome)
{
    CHECK(log.accepts("e2", job("j1")));
    CHECK(log.accepts("e1", intent("j1", 1, "w1")));
    CHECK_FALSE(log.accepts("e2", TaskEnded { .epoch = 1, .job = "j1", .attempt = 1, .outcome = TaskOutcome::Lost }));
    CHECK(log.accepts("e2", TaskEnded { .job = "j1", .attempt = 1, .result = "first" }));
    CHECK_FALSE(log.accepts("e1", TaskEnded { .job = "j1", .attempt = 1, .result = "second" }));
    STRCMP_EQUAL("first", log.state.findJob("j1")->result.c_str());
    CHECK(log.state.findWorker("w1")->committed == Resources {});
}

// Guards against task starts in a zone that operators have taken out of service.
TEST(ClusterState, IntentsInAZoneOutOfServiceAreIgnored)
{
    CHECK(log.accepts("e2", job("j1")));
    CHECK(log.accepts("e2", ZoneChanged { .zone = "a", .out = true }));
    CHECK_FALSE(log.accepts("e1", intent("j1", 1, "w1")));
    CHECK(log.accepts("e2", ZoneChanged { .zone = "a", .out = false }));
    CHECK(log.accepts("e1", intent("j1", 1, "w1")));
}

// Guards against a batch that is applied twice because its append was retried after the reply was lost.
TEST(ClusterState, RepeatedBatchesAreRecognised)
{
    CHECK(log.accepts("e2", TermsRenewed { .client = "c", .renewal = 1, .concurrency = 5 }));
    CHECK(log.repeatLast().duplicate);
    LONGS_EQUAL(1, log.state.image().terms.at("c").current.renewal);
}

// Guards against a non-idempotent request that two entry hosts dispatch, and against an outcome that is recorded by a
// member other than the claimant.
TEST(ClusterState, OnlyFirstClaimOfARequestIsAccepted)
{
    CHECK(log.accepts("e1", RequestClaimed { .key = "k", .digest = 1 }));
    CHECK_FALSE(log.accepts("e2", RequestClaimed { .key = "k", .digest = 1 }));
    CHECK_FALSE(log.accepts("e2", RequestFinished { .key = "k", .status = 200 }));
    CHECK(log.accepts("e1", RequestFinished { .key = "k", .status = 200, .body = "b" }));
    CHECK_FALSE(log.accepts("e1", RequestFinished { .key = "k", .status = 500 }));
    // A claim that was released can be made again.
    CHECK(log.accepts("e1", RequestClaimed { .key = "l" }));
    CHECK(log.accepts("e1", RequestFinished { .key = "l", .status = 0 }));
    CHECK(log.accepts("e2", RequestClaimed { .key = "l" }));
}

// Guards against two renewals that each fit the capacity alone but exceed it together.
TEST(ClusterState, RenewalsMustBeBasedOnTheLastRenewal)
{
    CHECK(log.accepts("e1", TermsRenewed { .client = "c", .renewal = 1 }));
    CHECK_FALSE(log.accepts("e2", TermsRenewed { .client = "d", .renewal = 1 }));
    CHECK_FALSE(log.accepts("e2", TermsRenewed { .client = "c", .renewal = 1 }));
    auto position = log.state.image().termsChangedAt;
    CHECK(log.accepts("e2", TermsRenewed { .client = "d", .renewal = 1, .basedOn = position }));
}

// Guards against a configuration that reverts to an older version, and against two concurrent updates that are both
// accepted.
TEST(ClusterState, ConfigVersionsOnlyIncrease)
{
    CHECK(log.accepts("e1", ConfigPublished { .version = 1, .basedOn = 0, .body = "a" }));
    CHECK_FALSE(log.accepts("e2", ConfigPublished { .version = 1, .basedOn = 0, .body = "b" }));
    CHECK_FALSE(log.accepts("e2", ConfigPublished { .version = 3, .basedOn = 1, .body = "b" }));
    CHECK(log.accepts("e2", ConfigPublished { .version = 2, .basedOn = 1, .body = "c" }));
}

// Guards against ended jobs and request claims that are removed within the deduplication window or never removed.
TEST(ClusterState, EndedJobsAndClaimsExpireAfterTheWindow)
{
    auto submitted = job("j1");
    submitted.requestKey = "c/key";
    CHECK(log.accepts("e1", submitted, 1000));
    CHECK(log.accepts("e1", JobCancelled { .job = "j1" }, 1000));
    CHECK(log.accepts("e1", RequestClaimed { .key = "k" }, 1000));
    CHECK(log.accepts("e1", LeaderKeepalive { .epoch = 1 }, 1000 + deduplicationWindowMs));
    CHECK(log.state.findJobByKey("c/key") != nullptr);
    CHECK(log.accepts("e1", LeaderKeepalive { .epoch = 1 }, 1001 + deduplicationWindowMs));
    CHECK(log.state.findJobByKey("c/key") == nullptr);
    CHECK(log.state.image().claims.empty());
}

namespace {

// Returns a record that may be valid or invalid in the current state.
Record randomRecord(std::mt19937_64& random, const ClusterState& state)
{
    auto pick
        = [&](std::initializer_list<const char*> names) { return std::string(names.begin()[random() % names.size()]); };
    auto id = pick({ "j1", "j2", "j3", "j4" });
    const auto* known = state.findJob(id);
    uint32_t attempt = (known ? known->attempt : 0) + static_cast<uint32_t>(random() % 2);
    auto epoch = state.image().leader.epoch + (random() % 8 == 0 ? 1 : 0);
    switch (random() % 12) {
    case 0:
    case 1:
        return job(id, static_cast<int64_t>(random() % 5000));
    case 2:
    case 3:
    case 4:
        return intent(id, attempt, pick({ "w1", "w2" }), epoch);
    case 5:
        return TaskRevoked { .epoch = epoch, .job = id, .attempt = attempt };
    case 6:
    case 7:
        return TaskEnded {
            .epoch = epoch, .job = id, .attempt = attempt, .outcome = static_cast<TaskOutcome>(random() % 6)
        };
    case 8:
        return JobCancelled { .job = id };
    case 9:
        return ZoneChanged { .zone = pick({ "a", "b" }), .out = random() % 2 == 0 };
    case 10:
        return WorkerListed { .epoch = epoch,
            .worker = pick({ "w1", "w2" }),
            .zone = pick({ "a", "b" }),
            .capacity = { .cpuMillis = 4000, .memoryMb = 8000, .accelerators = 1 },
            .gone = random() % 4 == 0 };
    default:
        return LeaderClaimed { .epoch = epoch };
    }
}

}

// Guards against a sequence of records that commits resources beyond the capacity of a worker or loses a commitment,
// and against a snapshot that differs from the state from which it was taken.
TEST(ClusterState, RandomRecordsKeepTheInvariants)
{
    checkProperty("commitments stay within capacity and snapshots are exact", [] {
        Log random;
        setUpLeaderAndWorkers(random);
        std::mt19937_64 generator(*rc::gen::arbitrary<uint64_t>());
        for (int i = 0; i < 200; ++i) {
            random.append(generator() % 2 == 0 ? "e1" : "e2", { randomRecord(generator, random.state) }, i);
            std::map<WorkerId, Resources> sums;
            std::set<JobId> revoking;
            for (const auto& [id, job] : random.state.image().jobs) {
                if (job.phase == JobPhase::Revoking)
                    revoking.insert(id);
                if (job.holdsCommitment())
                    sums[job.worker] = sums[job.worker] + job.spec.size;
            }
            RC_ASSERT(revoking == random.state.revokingJobs());
            for (const auto& [id, worker] : random.state.image().workers) {
                RC_ASSERT(sums[id] == worker.committed);
                RC_ASSERT(worker.committed.fitsIn(worker.spec.capacity));
            }
        }
        auto copy = ClusterState::decodeSnapshot(random.state.encodeSnapshot());
        RC_ASSERT(copy.ok());
        RC_ASSERT(copy->image() == random.state.image());
        RC_ASSERT(copy->revokingJobs() == random.state.revokingJobs());
    });
}
