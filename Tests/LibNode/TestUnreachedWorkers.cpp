#include "TaskLeaderFixture.h"

using namespace Bergamot;

class UnreachedWorkersFixture : public TaskLeaderFixture {
public:
    /// Elects a leader that has a job and two workers and reaches only w1, and lets it lead for 2 s.
    void leadWithoutReachingW2()
    {
        announce("w1");
        announce("w2");
        putAssignedWorkers({ "w1", "w2" });
        putJob("j");
        silent = { "w2" };
        elect();
        run(Milliseconds { 2000 });
        CHECK(isStoredAsUnreached("w2"));
        CHECK_FALSE(isStoredAsUnreached("w1"));
    }

    bool isStoredAsUnreached(const std::string& worker)
    {
        auto stored = storedValue<UnreachedWorkers>(unreachedWorkersKey).value_or(UnreachedWorkers {});
        return std::ranges::any_of(stored.workers, [&](const auto& it) { return it.worker.id == worker; });
    }

    /// Checks that the next start follows when the leases of w2 have expired if they were last renewed at `since`.
    void checkStartIsHeldBackSince(Instant since)
    {
        auto time = timeOfStart(since, Milliseconds { 10000 });
        CHECK(time.has_value());
        CHECK(*time >= minLeaseWait);
        CHECK(*time <= maxLeaseWait);
    }
};

TEST_GROUP_BASE(UnreachedWorkers, UnreachedWorkersFixture) {};

// Guards against tasks that wait anew with each of several leaders, and against a start before the leases have expired.
TEST(UnreachedWorkers, WaitBeginsWithTheFirstLeaderThatDidNotReachTheWorker)
{
    leadWithoutReachingW2();
    auto firstElectedAt = electedAt;
    elect();
    run(Milliseconds { 1500 });
    elect();
    run(Milliseconds { 200 });
    elect();
    checkStartIsHeldBackSince(firstElectedAt);
}

// Guards against running a task twice: the earlier leader reached the worker after all and renewed its lease.
TEST(UnreachedWorkers, WorkerReachedByTheEarlierLeaderIsWaitedForWithAWholeLease)
{
    leadWithoutReachingW2();
    silent.clear();
    run(Milliseconds { 300 });
    CHECK(grantsTo("w2", epoch) > 0);
    silent = { "w2" };
    elect();
    checkStartIsHeldBackSince(electedAt);
}

// Guards against renewing a lease while the stored record may say that it is not renewed: the append of the new record
// is lost, refused or without an answer.
TEST(UnreachedWorkers, LeaseIsRenewedOnceTheNewRecordIsStored)
{
    for (auto fault : { FakeRecordStore::Fault::Refusing, FakeRecordStore::Fault::Unresponsive,
             FakeRecordStore::Fault::LosingReplies }) {
        leadWithoutReachingW2();
        store.fault = fault;
        silent.clear();
        run(Milliseconds { 1500 });
        CHECK_EQUAL(0, grantsTo("w2", epoch));
        CHECK_EQUAL(0, startsOn("w2"));
        store.fault = FakeRecordStore::Fault::None;
        run(Milliseconds { 1500 });
        CHECK_FALSE(isStoredAsUnreached("w2"));
        CHECK(grantsTo("w2", epoch) > 0);
    }
}

// Guards against counting from an old election although the answer to the append of the newer record was lost.
TEST(UnreachedWorkers, RecordWithALostAnswerCounts)
{
    leadWithoutReachingW2();
    store.fault = FakeRecordStore::Fault::LosingReplies;
    silent.clear();
    run(Milliseconds { 200 });
    CHECK_FALSE(isStoredAsUnreached("w2"));
    store.fault = FakeRecordStore::Fault::None;
    silent = { "w2" };
    elect();
    checkStartIsHeldBackSince(electedAt);
}

// Guards against a deposed leader that renews the lease of a worker for which its successor no longer waits.
TEST(UnreachedWorkers, DeposedLeaderDoesNotRenewTheLeaseOfAnUnreachedWorker)
{
    leadWithoutReachingW2();
    auto deposed = std::move(leader);
    auto deposedEpoch = epoch;
    succeed();
    run(Milliseconds { 100 });
    silent.clear();
    cutOff = { { "w2", epoch } };
    run(Milliseconds { 3000 });
    CHECK_EQUAL(0, grantsTo("w2", deposedEpoch));
    CHECK(fencedCalls > 0);
}

// Guards against counting from an election that the new leader learned of late, or that it cannot place because it has
// missed others.
TEST(UnreachedWorkers, SuccessorCountsFromWhenItLearnedOfTheElection)
{
    for (bool hasMissedElections : { true, false }) {
        leadWithoutReachingW2();
        elections.clear();
        auto countedFrom = clock.now();
        if (!hasMissedElections)
            elections.add(epoch, countedFrom);
        run(Milliseconds { 1000 });
        elect();
        checkStartIsHeldBackSince(hasMissedElections ? electedAt : countedFrom);
    }
}

// Guards against tasks that wait anew after leaders that end before they have stored a record of their own.
TEST(UnreachedWorkers, LeadersThatStoreNothingDoNotRestartTheWait)
{
    leadWithoutReachingW2();
    auto firstElectedAt = electedAt;
    for (int i = 0; i < 20; ++i) {
        elect();
        run(Milliseconds { 100 });
        CHECK_EQUAL(0, starts());
    }
    elect();
    checkStartIsHeldBackSince(firstElectedAt);
}

// Guards against a lease that a leader renews although its successors conclude from the missing record that it has
// renewed none.
TEST(UnreachedWorkers, NoLeaseOfAnEarlierLeaderIsRenewedBeforeTheFirstRecordIsStored)
{
    for (auto fault : { FakeRecordStore::Fault::Refusing, FakeRecordStore::Fault::Unresponsive,
             FakeRecordStore::Fault::LosingReplies }) {
        announce("w1");
        announce("w2");
        putAssignedWorkers({ "w1", "w2" });
        putJob("j");
        silent = { "w1", "w2" };
        elect();
        run(Milliseconds { 100 });
        store.fault = fault;
        silent.clear();
        run(Milliseconds { 1500 });
        CHECK_EQUAL(0, grantsTo("w1", epoch) + grantsTo("w2", epoch));
        CHECK_EQUAL(0, starts());
        store.fault = FakeRecordStore::Fault::None;
        run(Milliseconds { 1500 });
        CHECK(grantsTo("w1", epoch) > 0);
        CHECK(grantsTo("w2", epoch) > 0);
    }
}

// Guards against relying on a record that outlived another leader, which may have renewed the lease: a leader of an
// older version does not write such records.
TEST(UnreachedWorkers, RecordOfAnEarlierPredecessorIsIgnored)
{
    leadWithoutReachingW2();
    leader.reset();
    elections.add(++epoch, clock.now());
    run(Milliseconds { 500 });
    elect();
    checkStartIsHeldBackSince(electedAt);
}

// Guards against renewing the lease of a worker that was removed and is listed again, while the stored record still
// contains it.
TEST(UnreachedWorkers, ReturningWorkerIsTakenOutOfTheRecordFirst)
{
    leadWithoutReachingW2();
    store.put(StreamName::Workers, "w2", {});
    run(Milliseconds { 4000 });
    CHECK(isStoredAsUnreached("w2"));
    CHECK_FALSE(isStoredAsAssigned("w2"));
    announce("w2");
    advance(Milliseconds { 500 });
    store.fault = FakeRecordStore::Fault::Refusing;
    silent.clear();
    for (int i = 0; i < 100; ++i) {
        run(Milliseconds { 20 });
        CHECK(grantsTo("w2", epoch) == 0 || !isStoredAsUnreached("w2"));
    }
    store.fault = FakeRecordStore::Fault::None;
    run(Milliseconds { 1500 });
    CHECK(grantsTo("w2", epoch) > 0);
    CHECK_FALSE(isStoredAsUnreached("w2"));
}

// Guards against a record that calls a worker unreached although this leader renewed its lease before it removed it.
TEST(UnreachedWorkers, ReturningWorkerIsNotStoredAsUnreached)
{
    announce("w2");
    elect();
    run(Milliseconds { 2000 });
    CHECK(grantsTo("w2", epoch) > 0);
    silent = { "w2" };
    taskExecutor.takeRenewLeaseCall().reply(absl::DeadlineExceededError("silent"));
    advance(Milliseconds { 200 });
    taskExecutor.takeRenewLeaseCall().reply(absl::DeadlineExceededError("silent"));
    store.put(StreamName::Workers, "w2", {});
    run(Milliseconds { 7000 });
    CHECK_FALSE(isStoredAsAssigned("w2"));
    announce("w2");
    run(Milliseconds { 2000 });
    CHECK(isStoredAsAssigned("w2"));
    CHECK_FALSE(isStoredAsUnreached("w2"));
}

// Guards against a plan for a worker whose lease is withheld: its starts would be refused one after the other.
TEST(UnreachedWorkers, NothingIsPlannedOnAWorkerWhoseLeaseIsWithheld)
{
    announce("w2");
    putAssignedWorkers({ "reached", "w2" });
    putJob("j");
    silent = { "w2" };
    elect();
    run(Milliseconds { 2000 });
    CHECK(isStoredAsUnreached("w2"));
    store.fault = FakeRecordStore::Fault::LosingReplies;
    silent.clear();
    run(Milliseconds { 1500 });
    CHECK_EQUAL(0, starts());
    CHECK(metrics.text().find(R"(bergamot_node_starts_total{outcome="not_sent"})") == std::string::npos);
    store.fault = FakeRecordStore::Fault::None;
    run(Milliseconds { 1500 });
    CHECK_EQUAL(1, starts());
}

// Guards against a removed worker that is waited for without end, because its leases expired before the list of workers
// was read.
TEST(UnreachedWorkers, UnlistedWorkerIsRemovedOnceTheListIsRead)
{
    putAssignedWorkers({ "reached", "w2" });
    silent = { "w2" };
    elect();
    run(maxLeaseWait);
    elect();
    putAssignedWorkers({ "reached", "w2" });
    store.unreadable.insert({ StreamName::Workers, 0 });
    run(Milliseconds { 1000 });
    CHECK(isStoredAsAssigned("w2"));
    store.unreadable.clear();
    run(Milliseconds { 1000 });
    CHECK_FALSE(isStoredAsAssigned("w2"));
}

// Guards against appends for each worker at a usual take-over: one fences the earlier leaders, and one stores the model
// of interference.
TEST(UnreachedWorkers, TakeOverThatReachesAllWorkersNeedsTwoAppends)
{
    constexpr uint32_t appendsPerTakeOver { 2 };
    constexpr Milliseconds slowestAnswer { 600 };
    std::vector<std::string> ids;
    for (int i = 0; i < 50; ++i) {
        ids.push_back("w" + std::to_string(i));
        announce(ids.back());
    }
    putAssignedWorkers(ids);
    for (int i = 0; i < 3; ++i) {
        auto appends = store.appends;
        silent = { ids.begin(), ids.end() };
        elect();
        run(slowestAnswer);
        silent.clear();
        run(Milliseconds { 2500 } - slowestAnswer);
        CHECK_EQUAL(appendsPerTakeOver, store.appends - appends);
    }
}

// Guards against an append for each worker when many are silent and return together.
TEST(UnreachedWorkers, WorkersThatReturnTogetherShareAnAppend)
{
    constexpr uint32_t maxAppends { 4 };
    std::vector<std::string> ids;
    for (int i = 0; i < 50; ++i) {
        ids.push_back("w" + std::to_string(i));
        announce(ids.back());
        silent.insert(ids.back());
    }
    auto assigned = ids;
    for (int i = 0; i < 50; ++i)
        assigned.push_back("reached" + std::to_string(i));
    putAssignedWorkers(assigned);
    auto appends = store.appends;
    elect();
    run(Milliseconds { 1500 });
    CHECK(isStoredAsUnreached("w49"));
    silent.clear();
    run(Milliseconds { 1000 });
    CHECK_FALSE(isStoredAsUnreached("w49"));
    CHECK(store.appends - appends <= maxAppends);
    for (const auto& id : ids)
        CHECK(grantsTo(id, epoch) > 0);
}

// Guards against a rolling upgrade in which a leader of an older version, which reads every record under an unknown key
// as the progress of a job, accepts a record of unreached workers as such.
TEST(UnreachedWorkers, RecordIsNoProgressOfAJob)
{
    UnreachedWorkers unreached { .epoch = 3, .workers = { { .worker = incarnationOf("w1"), .sinceEpoch = 2 } } };
    CHECK_FALSE(decodeValue<JobProgress>(encodeValue(unreached)).ok());
    CHECK(*decodeValue<UnreachedWorkers>(encodeValue(unreached)) == unreached);
}

// Guards against a second run of a task whose worker announces itself and obeys the previous leader, which is cut off
// from the store and reaches most workers, while this leader reaches the others.
TEST(UnreachedWorkers, ListedWorkersAreWaitedForUntilHalfAreReached)
{
    for (const auto* id : { "w1", "w2", "w3" })
        announce(id);
    putAssignedWorkers({ "w1", "w2", "w3" });
    putJob("j");
    silent = { "w2", "w3" };
    elect();
    run(Milliseconds { 20000 });
    CHECK_EQUAL(0, starts());
    silent = { "w3" };
    CHECK(timeOfStart(clock.now(), maxLeaseWait).has_value());
}

// Guards against a second run of a task whose worker obeys the previous leader and whose entry has expired, and against
// tasks that wait without end after most workers have lost power.
TEST(UnreachedWorkers, UnlistedWorkersAreWaitedForUntilNoEarlierLeaderCanRenew)
{
    constexpr Milliseconds longestRenewals { 300'000 };
    constexpr Milliseconds shortestUnconfirmedLease { 3000 };
    constexpr Milliseconds maxWait { 315'000 };
    announce("w1");
    putAssignedWorkers({ "w1", "w2", "w3" });
    putJob("j");
    silent = { "w2", "w3" };
    elect();
    auto wait = timeOfStart(electedAt, Milliseconds { 400'000 });
    CHECK(wait.has_value());
    CHECK(*wait >= longestRenewals + shortestUnconfirmedLease);
    CHECK(*wait <= maxWait);
}

// Guards against tasks that wait for workers that have lost power and come back, of which some are not listed yet.
TEST(UnreachedWorkers, RestartedWorkersHoldNothingBack)
{
    for (auto outage : { Milliseconds { 0 }, Milliseconds { 8000 } }) {
        announce("w1");
        putAssignedWorkers({ "w1", "w2", "w3", "w4" });
        putJob("j");
        silent = { "w2", "w3", "w4" };
        elect();
        run(outage);
        CHECK_EQUAL(0, starts());
        restartedAtMs = { { "w2", bornMs + 1000 }, { "w3", bornMs + 1000 } };
        announce("w2");
        silent = { "w4" };
        CHECK(timeOfStart(clock.now(), maxLeaseWait).has_value());
        leader.reset();
        store.put(StreamName::Jobs, "j", {});
        restartedAtMs.clear();
    }
}

// Guards against a second run under a further leader, which takes workers that were added since for half of those on
// which the cut-off leader relies.
TEST(UnreachedWorkers, WorkersAddedSinceDoNotDecide)
{
    const std::vector<std::string> added { "w4", "w5", "w6", "w7" };
    announce("w1");
    putAssignedWorkers({ "w1", "w2", "w3" });
    putJob("j");
    silent = { "w2", "w3" };
    elect();
    run(Milliseconds { 300 });
    for (const auto& id : added)
        announce(id);
    run(Milliseconds { 500 });
    for (const auto& id : added)
        CHECK(isStoredAsAssigned(id));
    for (int i = 0; i < 3; ++i) {
        elect();
        run(Milliseconds { 10'000 });
        CHECK_EQUAL(0, starts());
        announce("w8" + std::to_string(i));
    }
    silent = { "w3" };
    CHECK(timeOfStart(clock.now(), maxLeaseWait).has_value());
    run(Milliseconds { 1000 });
    CHECK(isStoredAsAssigned("w80"));
    CHECK_FALSE(isStoredAsUnreached("w3"));
}

// Guards against tasks that wait for 300 s because the workers that earlier leaders have reached no longer count.
TEST(UnreachedWorkers, TasksDoNotWaitForHalfOfTheWorkersThatAreStillDoubtful)
{
    const std::set<std::string> crashed { "w6", "w7", "w8", "w9" };
    announce("w1");
    putAssignedWorkers({ "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9" });
    putJob("j");
    // Each leader stores the workers in doubt together with an added worker, and reaches one of them.
    for (std::set<std::string> cutOff : { std::set<std::string> { "w4", "w5" }, { "w5" } }) {
        silent = crashed;
        silent.merge(cutOff);
        elect();
        run(Milliseconds { 300 });
        auto added = "added" + std::to_string(silent.size());
        announce(added);
        silent.insert(added);
        run(Milliseconds { 2000 });
        CHECK(isStoredAsUnreached("w5"));
        CHECK_EQUAL(0, starts());
    }
    silent = crashed;
    elect();
    CHECK(timeOfStart(electedAt, maxLeaseWait).has_value());
}

// Guards against tasks that wait for 300 s because leaders are unknown that the author of the record had excluded, and
// against a second run while that author may go on.
TEST(UnreachedWorkers, ExcludedLeadersNeedNotBeKnownToHaveStopped)
{
    for (bool hasStopped : { true, false }) {
        elections.clear();
        haveLeadersStopped = [this](uint64_t first, uint64_t end) { return elections.haveLeadersStopped(first, end); };
        for (const auto* id : { "w1", "w2", "w3", "w4", "w5" })
            announce(id);
        putAssignedWorkers({ "w1", "w2", "w3", "w4", "w5" });
        putJob("j");
        silent = { "w5" };
        elect();
        run(Milliseconds { 2000 });
        CHECK(isStoredAsUnreached("w5"));
        CHECK_EQUAL(0, starts());
        if (hasStopped)
            elections.leaderStopped(epoch, {}, 0);
        silent = { "w2", "w3", "w4", "w5" };
        elect();
        CHECK_EQUAL(hasStopped, timeOfStart(electedAt, maxLeaseWait).has_value());
    }
}

// Guards against a second run of a task: the previous leader has stopped, but the one before it may go on, which relies
// on workers that were added and that neither successor reaches.
TEST(UnreachedWorkers, StoppedLeaderDoesNotStandForOneThatItHasNotExcluded)
{
    elections.clear();
    haveLeadersStopped = [this](uint64_t first, uint64_t end) { return elections.haveLeadersStopped(first, end); };
    const std::set<std::string> reliedOn { "w1", "added2", "added3", "added4", "added5" };
    for (const auto* id : { "w1", "w2", "w3" })
        announce(id);
    putAssignedWorkers({ "w1", "w2", "w3" });
    putJob("j");
    silent = { "w2", "w3", "added1" };
    elect();
    run(Milliseconds { 300 });
    for (const auto* id : { "added1", "added2", "added3", "added4", "added5" })
        announce(id);
    run(Milliseconds { 2000 });
    CHECK(isStoredAsUnreached("w2"));
    CHECK(isStoredAsUnreached("added1"));
    CHECK(isStoredAsAssigned("added5"));
    silent = reliedOn;
    silent.insert("added1");
    elect();
    run(Milliseconds { 500 });
    // The record is stored again, now without doubtful workers.
    silent = reliedOn;
    run(Milliseconds { 1500 });
    CHECK_FALSE(isStoredAsUnreached("added1"));
    CHECK_FALSE(isStoredAsUnreached("w2"));
    CHECK_FALSE(isStoredAsUnreached("w3"));
    elections.leaderStopped(epoch, {}, 0);
    CHECK(elections.haveLeadersStopped(epoch, epoch + 1));
    elect();
    run(Milliseconds { 20'000 });
    CHECK_EQUAL(0, starts());
}

// Guards against a start before the leases have ended that the previous leader has renewed until half of the workers
// were reached, also under a leader that follows then.
TEST(UnreachedWorkers, LeasesAreCountedFromWhenHalfAreReached)
{
    constexpr Milliseconds minWait { 4000 };
    for (bool isFollowed : { false, true }) {
        for (const auto* id : { "w1", "w2", "w3" })
            announce(id);
        putAssignedWorkers({ "w1", "w2", "w3" });
        putJob("j");
        silent = { "w2", "w3" };
        elect();
        run(Milliseconds { 8000 });
        silent = { "w3" };
        auto reachedHalfAt = clock.now();
        if (isFollowed) {
            run(Milliseconds { 200 });
            elect();
        }
        auto wait = timeOfStart(reachedHalfAt, Milliseconds { 10000 });
        CHECK(wait.has_value());
        CHECK(*wait >= minWait);
        CHECK(*wait <= maxLeaseWait + Milliseconds { 200 });
        leader.reset();
        store.put(StreamName::Jobs, "j", {});
    }
}

// Guards against a leader that does its periodic work no longer after one failure in it.
TEST(UnreachedWorkers, PeriodicWorkGoesOnAfterAFailedPlan)
{
    announce("w1");
    announce("added");
    putAssignedWorkers({ "w1", "w2" });
    putJob("j");
    silent = { "w2", "added" };
    failsToPlan = true;
    elect();
    run(Milliseconds { 300 });
    CHECK(loop->failedTasks() > 0);
    CHECK_FALSE(isStoredAsUnreached("added"));
    failsToPlan = false;
    run(Milliseconds { 2000 });
    CHECK(isStoredAsUnreached("added"));
}

// Guards against tasks that wait anew after a leader that reaches half of the workers late: the record that it has read
// shows that no leader before its author can renew the lease, and the later ones have renewed none.
TEST(UnreachedWorkers, LeaderThatReachesHalfLateKeepsTheRecordOfItsPredecessor)
{
    leadWithoutReachingW2();
    auto firstElectedAt = electedAt;
    silent = { "w1", "w2" };
    elect();
    run(Milliseconds { 1400 });
    silent = { "w2" };
    run(Milliseconds { 600 });
    CHECK_EQUAL(0, starts());
    CHECK(isStoredAsUnreached("w2"));
    elect();
    checkStartIsHeldBackSince(firstElectedAt);
}

// Guards against tasks that wait for 309 s under each of several leaders that have stopped, because of one before them
// that is not known to have stopped: it has had no proof of its leadership since the first of them was elected.
TEST(UnreachedWorkers, StoppedLeadersDoNotRestartTheWaitForOneThatIsNotKnownToHaveStopped)
{
    constexpr Milliseconds maxWait { 320'000 };
    announce("w1");
    putAssignedWorkers({ "w1", "w2", "w3" });
    putJob("j");
    silent = { "w2", "w3" };
    auto unstopped = epoch;
    haveLeadersStopped = [unstopped](uint64_t first, uint64_t) { return first > unstopped; };
    elect();
    auto firstElectedAt = electedAt;
    for (int i = 0; i < 3; ++i) {
        run(Milliseconds { 90'000 });
        elect();
    }
    CHECK_EQUAL(0, starts());
    auto wait = timeOfStart(firstElectedAt, Milliseconds { 400'000 });
    CHECK(wait.has_value());
    CHECK(*wait <= maxWait);
}

// Guards against leases that lapse under a slow store because the first record waits for the answer to an append before
// it, which stores the run ends that the first replies list.
TEST(UnreachedWorkers, FirstRecordIsNotSentBehindAnotherAppend)
{
    constexpr Milliseconds callTime { 700 };
    constexpr int callsUntilRecord { 4 };
    constexpr Milliseconds maxWaitForReplies { 300 };
    for (const auto* id : { "w1", "w2", "w3" })
        announce(id);
    putAssignedWorkers({ "w1", "w2", "w3" });
    putJob("j");
    silent = { "w3" };
    ends["w1"] = { { .sequence = 1,
        .task = { .job = "j", .occurrence = 0, .step = 0, .index = 0 },
        .run = 1,
        .outcome = RunOutcome::Done } };
    store.appendTime = callTime;
    store.readNewestTime = callTime;
    elect();
    while (grantsTo("w2", epoch) == 0 && clock.now() - electedAt < Milliseconds { 20'000 })
        run(Milliseconds { 20 });
    auto time = clock.now() - electedAt;
    CHECK(time <= callsUntilRecord * callTime + maxWaitForReplies);
}
