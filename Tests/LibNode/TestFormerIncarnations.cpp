#include "TaskLeaderFixture.h"

using namespace Bergamot;

/// The assigned workers as versions without `AssignedWorkers::firstReplies` store them.
struct OlderAssignedWorkers {
    std::vector<WorkerIncarnation> workers {};
    std::vector<WorkerIncarnation> withMisdirectedLeases {};

    MSGPACK_DEFINE_ARRAY(workers, withMisdirectedLeases)
};

/// Calls for a former incarnation of a worker may be executed by the one that has started under the same id.
TEST_GROUP_BASE(FormerIncarnations, TaskLeaderFixture)
{
    /// The longest lease by the slowest clock.
    static constexpr Milliseconds longestLease { 10'204 };

    void setup() override { maxLease = Milliseconds { 10'000 }; }

    void restart(const std::string& worker, int64_t startedAtMs)
    {
        restartedAtMs[worker] = startedAtMs;
        announce(worker);
    }

    /// Has a leader know w1, restart it, and start a job on the new incarnation. Returns when that one replied first.
    Instant startJobOnNewIncarnation()
    {
        announce("w1");
        elect();
        run(Milliseconds { 20'000 });
        restart("w1", 60);
        run(Milliseconds { 100 });
        auto repliedAt = clock.now();
        run(Milliseconds { 400 });
        putJob("j");
        CHECK(timeOfStart(clock.now(), Milliseconds { 2000 }).has_value());
        auto start = taskExecutor.takeCommand();
        runs["w1"] = { { .task = start.start.task, .run = start.run } };
        start.reply(replyOf("w1"));
        return repliedAt;
    }

    /// Like run(), with calls to silent workers that time out.
    void runWithTimeouts(Milliseconds time)
    {
        run(time);
        for (auto left = taskExecutor.renewLeaseCalls.size(); left > 0; --left) {
            auto call = taskExecutor.takeRenewLeaseCall();
            if (silent.contains(call.address))
                call.reply(absl::DeadlineExceededError("silent"));
            else
                taskExecutor.renewLeaseCalls.push_back(std::move(call));
        }
    }

    /// Elects a leader that reaches two of the three stored workers and not w1, and returns the time until it starts an
    /// earlier leader's job.
    std::optional<Milliseconds> timeUntilNextLeaderStarts(std::vector<WorkerIncarnation> withMisdirectedLeases)
    {
        AssignedWorkers assigned { .workers = { incarnationOf("w1"), incarnationOf("w2"), incarnationOf("w3") },
            .withMisdirectedLeases = std::move(withMisdirectedLeases) };
        store.put(StreamName::Progress, assignedWorkersKey, encodeValue(assigned));
        for (const char* worker : { "w1", "w2", "w3" })
            announce(worker);
        putJob("j");
        silent.insert("w1");
        elect();
        return timeOfStart(electedAt, Milliseconds { 15'000 });
    }

    /// Elects a leader that reaches three workers, of which w1 has just started again, and lets it lead for `time`.
    void leadWithRestartedWorker(Milliseconds time)
    {
        for (const char* worker : { "w1", "w2", "w3" })
            announce(worker);
        elect();
        run(Milliseconds { 20'000 });
        restart("w1", 60);
        run(time);
    }

    /// Has leaders follow each other, all of which end before the longest lease, but not before a report.
    void electShortLeaders()
    {
        constexpr int leaders = 4;
        for (int i = 0; i < leaders; ++i) {
            elect();
            run(Milliseconds { 3000 });
        }
    }

    /// Puts a job and returns the time from the election of a further leader, which does not reach w1, to the start.
    std::optional<Milliseconds> timeOfStartBesideSilentWorker()
    {
        silent.insert("w1");
        putJob("j");
        elect();
        return timeOfStart(electedAt, Milliseconds { 15'000 });
    }

    std::vector<FirstReply> storedFirstReplies()
    {
        return storedValue<AssignedWorkers>(assignedWorkersKey)->firstReplies;
    }

    uint64_t highestToken(const std::string& worker) const
    {
        uint64_t token = 0;
        for (const auto& call : taskExecutor.renewLeaseCalls)
            token = std::max(token, call.address == worker ? call.fenceToken : 0);
        return token;
    }
};

// Guards against late calls for a former incarnation that the new one executes after its first reply.
TEST(FormerIncarnations, LateCallsHaveALowerFencingToken)
{
    announce("w1");
    elect();
    run(Milliseconds { 1000 });
    auto former = highestToken("w1");
    CHECK(former > 0);
    restart("w1", 60);
    run(Milliseconds { 600 });
    CHECK(highestToken("w1") > former);
    CHECK_EQUAL(epoch, epochOfToken(highestToken("w1")));
}

// Guards against late calls for a former incarnation that the new one executes until the platform lists it.
TEST(FormerIncarnations, IncarnationThatIsNotListedYetIsToldAHigherToken)
{
    announce("w1");
    elect();
    run(Milliseconds { 1000 });
    auto former = highestToken("w1");
    restartedAtMs["w1"] = 60;
    run(Milliseconds { 600 });
    CHECK(highestToken("w1") > former);
    announce("w1");
    putJob("j");
    CHECK(timeOfStart(clock.now(), Milliseconds { 2000 }).has_value());
}

// Guards against two sessions with one fencing token, when a worker restarts again before the leader has a higher one.
TEST(FormerIncarnations, SessionWaitsForAHigherFencingToken)
{
    announce("w1");
    elect();
    run(Milliseconds { 1000 });
    uint64_t last = 0;
    for (int64_t startedAtMs = 60; startedAtMs < 70; ++startedAtMs) {
        restart("w1", startedAtMs);
        uint64_t first = 0;
        for (int i = 0; i < 50 && first <= last; ++i) {
            run(Milliseconds { 20 });
            first = highestToken("w1");
        }
        CHECK(first > last);
        last = first;
    }
}

// Guards against a second run of a task while its worker holds the longest lease, granted by a call for its former
// incarnation.
TEST(FormerIncarnations, LeaseGrantedByALateCallIsWaitedFor)
{
    auto repliedAt = startJobOnNewIncarnation();
    run(Milliseconds { 500 });
    silent.insert("w1");
    announce("w2");
    while (starts() == 0 && clock.now() - repliedAt < Milliseconds { 15'000 })
        runWithTimeouts(Milliseconds { 20 });
    CHECK_EQUAL(1, startsOn("w2"));
    CHECK_COMPARE((clock.now() - repliedAt).count(), >=, longestLease.count());
}

// Guards against the same after a change of leader: the successor has not reached the worker.
TEST(FormerIncarnations, NextLeaderWaitsForALeaseGrantedByALateCall)
{
    auto wait = timeUntilNextLeaderStarts({ incarnationOf("w1") });
    CHECK(wait.has_value());
    CHECK_COMPARE(wait->count(), >=, longestLease.count());
}

// Guards against the same when the successor learns from the list that the worker has started again.
TEST(FormerIncarnations, NextLeaderWaitsForALeaseOfAnAnnouncedIncarnation)
{
    restartedAtMs["w1"] = 60;
    auto wait = timeUntilNextLeaderStarts({});
    CHECK(wait.has_value());
    CHECK_COMPARE(wait->count(), >=, longestLease.count());
}

// Guards against tasks that wait for the longest lease of a worker that cannot hold one.
TEST(FormerIncarnations, LongestLeaseOfAnotherWorkerIsNotWaitedFor)
{
    auto wait = timeUntilNextLeaderStarts({ incarnationOf("w2") });
    CHECK(wait.has_value());
    CHECK_COMPARE(wait->count(), <=, maxLeaseWait.count());
}

// Guards against a later leader that does not know of such a lease, and against one that waits when it has expired.
TEST(FormerIncarnations, WorkersThatMayHoldTheLongestLeaseAreStored)
{
    startJobOnNewIncarnation();
    auto stored = storedValue<AssignedWorkers>(assignedWorkersKey);
    CHECK_EQUAL(1, stored->withMisdirectedLeases.size());
    CHECK_EQUAL(60, stored->withMisdirectedLeases.front().startedAtMs);
    run(Milliseconds { 13'000 });
    stored = storedValue<AssignedWorkers>(assignedWorkersKey);
    CHECK_EQUAL(1, stored->workers.size());
    CHECK(stored->withMisdirectedLeases.empty());
}

// Guards against two sessions with one worker, of which one has the other fenced, so that the leader steps down.
TEST(FormerIncarnations, OfTwoStoredIncarnationsOnlyTheLaterOneGetsASession)
{
    auto former = incarnationOf("w1");
    auto later = former;
    later.startedAtMs = 60;
    restartedAtMs["w1"] = 60;
    store.put(StreamName::Progress, assignedWorkersKey, encodeValue(AssignedWorkers { .workers = { former, later } }));
    announce("w1");
    elect();
    uint64_t seen = 0;
    for (int i = 0; i < 200; ++i) {
        advance(Milliseconds { 20 });
        for (auto left = taskExecutor.renewLeaseCalls.size(); left > 0; --left) {
            auto call = taskExecutor.takeRenewLeaseCall();
            bool isFenced = call.fenceToken < seen;
            seen = std::max(seen, call.fenceToken);
            auto reply = replyOf(call.address);
            if (isFenced)
                reply.outcome = TaskCommandOutcome::Fenced;
            call.reply(RenewLeaseReply { .commandReply = reply, .endCoverage = RunEndCoverage::All });
        }
        loop->runReady();
    }
    CHECK_EQUAL(0, fencedCalls);
    CHECK_EQUAL(1, storedValue<AssignedWorkers>(assignedWorkersKey)->workers.size());
    putJob("j");
    for (int i = 0; i < 100 && starts() == 0; ++i) {
        advance(Milliseconds { 20 });
        answerRenewals();
    }
    CHECK_EQUAL(1, startsOn("w1"));
}

// Guards against a wait for the longest lease that begins anew under each of many leaders.
TEST(FormerIncarnations, LeadersThatEndSoonDoNotRestartTheWaitForTheLongestLease)
{
    leadWithRestartedWorker(Milliseconds { 3000 });
    electShortLeaders();
    auto wait = timeOfStartBesideSilentWorker();
    CHECK(wait.has_value());
    CHECK_COMPARE(wait->count(), <=, maxLeaseWait.count());
}

// Guards against a successor that waits for a drained worker, because each leader ends before the longest lease.
TEST(FormerIncarnations, DrainedWorkerIsTakenOutByALeaderThatEndsSoon)
{
    leadWithRestartedWorker(Milliseconds { 3000 });
    electShortLeaders();
    formats.announcements["w1"].view.draining = true;
    store.put(StreamName::Workers, "w1", "w1");
    run(Milliseconds { 3000 });
    CHECK_FALSE(isStoredAsAssigned("w1"));
}

// Guards against a second run while the longest lease lasts: it counts from the end of the epoch of the first reply.
TEST(FormerIncarnations, LongestLeaseIsCountedFromTheElectionAfterTheFirstReply)
{
    leadWithRestartedWorker(Milliseconds { 2000 });
    CHECK_EQUAL(1, storedFirstReplies().size());
    CHECK_EQUAL(60, storedFirstReplies().front().worker.startedAtMs);
    CHECK_EQUAL(epoch, storedFirstReplies().front().epoch);
    auto wait = timeOfStartBesideSilentWorker();
    CHECK(wait.has_value());
    CHECK_COMPARE(wait->count(), >=, longestLease.count());
}

// Guards against the same when a leader reads the first reply after the election of its successor.
TEST(FormerIncarnations, ReplyAfterTheNextElectionIsNotStoredAsTheFirst)
{
    leadWithRestartedWorker(Milliseconds { 0 });
    soleLeaderUntil = clock.now();
    elections.add(epoch + 1, clock.now(), {}, { .storesReachedWorkers = true });
    run(Milliseconds { 4000 });
    auto stored = storedValue<AssignedWorkers>(assignedWorkersKey);
    CHECK_EQUAL(1, stored->withMisdirectedLeases.size());
    CHECK_EQUAL(60, stored->withMisdirectedLeases.front().startedAtMs);
    CHECK(stored->firstReplies.empty());
    soleLeaderUntil = Instant::max();
    auto wait = timeOfStartBesideSilentWorker();
    CHECK(wait.has_value());
    CHECK_COMPARE(wait->count(), >=, longestLease.count());
}

// Guards against the same after a first reply that a leader takes for that of a worker that has never replied.
TEST(FormerIncarnations, UnreachedWorkerHasNoFirstReply)
{
    timeUntilNextLeaderStarts({ incarnationOf("w1") });
    CHECK(storedFirstReplies().empty());
    auto stored = storedValue<AssignedWorkers>(assignedWorkersKey);
    CHECK_EQUAL(3, stored->workers.size());
}

// Guards against the same when a leader of an older version has stored the workers.
TEST(FormerIncarnations, RecordWithoutFirstRepliesKeepsItsMeaning)
{
    leadWithRestartedWorker(Milliseconds { 3000 });
    elect();
    run(Milliseconds { 1000 });
    auto current = *storedValue<AssignedWorkers>(assignedWorkersKey);
    CHECK_EQUAL(1, current.firstReplies.size());
    OlderAssignedWorkers older { .workers = current.workers, .withMisdirectedLeases = current.withMisdirectedLeases };
    store.put(StreamName::Progress, assignedWorkersKey, encodeValue(older));
    auto wait = timeOfStartBesideSilentWorker();
    CHECK(wait.has_value());
    CHECK_COMPARE(wait->count(), >=, longestLease.count());
}

// Guards against records that nodes of another version cannot read.
TEST(FormerIncarnations, AssignedWorkersAreReadByOtherVersions)
{
    AssignedWorkers current { .workers = { incarnationOf("w1"), incarnationOf("w2") },
        .withMisdirectedLeases = { incarnationOf("w2") },
        .firstReplies = { { .worker = incarnationOf("w2"), .epoch = 7 } } };
    CHECK(*decodeValue<AssignedWorkers>(encodeValue(current)) == current);
    auto older = decodeValue<OlderAssignedWorkers>(encodeValue(current));
    CHECK(older.ok());
    CHECK(older->workers == current.workers);
    CHECK(older->withMisdirectedLeases == current.withMisdirectedLeases);
    current.firstReplies.clear();
    CHECK(*decodeValue<AssignedWorkers>(encodeValue(*older)) == current);
}
