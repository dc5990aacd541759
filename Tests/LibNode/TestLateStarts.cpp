#include "TaskLeaderFixture.h"

using namespace Bergamot;

/// A worker starts again under its id. The leader that has sent it a start without getting a reply is killed, and the
/// next one, which does not reach the worker, knows the new incarnation from the list only.
TEST_GROUP_BASE(LateStarts, TaskLeaderFixture)
{
    static constexpr Milliseconds maxCallDelay { 12'000 };

    /// The longest lease by the slowest clock.
    static constexpr Milliseconds longestLease { 10'204 };

    /// Until when the next leader holds back other tasks of its predecessors.
    static constexpr Milliseconds maxWaitForOthers { 10'800 };

    Instant startSentAt { neverInstant };
    StartTaskCommand unanswered;

    void setup() override { maxLease = Milliseconds { 10'000 }; }

    void putGang(const std::string& id)
    {
        JobSpec spec { .id = id,
            .queue = "q",
            .steps = { { .count = 2, .size = { 1000, 128, 0 }, .estimateMs = 1000, .gang = true } } };
        store.put(StreamName::Jobs, id, encodeValue(spec));
    }

    /// Has a leader send the start of job "j" to w1, which does not reply any more.
    void startWithoutReply(bool isGang = false)
    {
        announce("w1");
        elect();
        run(Milliseconds { 1000 });
        silent.insert("w1");
        isGang ? putGang("j") : putJob("j");
        CHECK(timeOfStart(clock.now(), Milliseconds { 2000 }).has_value());
        startSentAt = clock.now();
        auto start = taskExecutor.takeCommand();
        unanswered = start.start;
        run(Milliseconds { 300 });
        start.reply(absl::DeadlineExceededError("silent"));
        // The renewals time out too, so that the start is not repeated.
        for (int i = 0; i < 2; ++i) {
            for (auto left = taskExecutor.renewLeaseCalls.size(); left > 0; --left)
                taskExecutor.takeRenewLeaseCall().reply(absl::DeadlineExceededError("silent"));
            run(Milliseconds { 200 });
        }
        putJob("other");
        run(Milliseconds { 100 });
    }

    /// The next leader finds w1 announced as started again, and w2.
    void replaceLeader()
    {
        restartedAtMs["w1"] = 60;
        announce("w1");
        announce("w2");
        elect();
    }

    std::vector<UnansweredStart> storedStarts()
    {
        std::map<std::string, UnansweredStarts> lists;
        for (const auto& record : store.records(StreamName::Progress)) {
            if (record.key.starts_with(unansweredStartsKeyPrefix))
                lists[record.key] = *decodeValue<UnansweredStarts>(record.value);
        }
        std::vector<UnansweredStart> starts;
        for (const auto& [key, list] : lists)
            starts.insert(starts.end(), list.starts.begin(), list.starts.end());
        return starts;
    }

    /// The workers accept all starts and list their runs. Returns whether one of the job was among them.
    bool acceptStarts(const std::string& job)
    {
        bool isStarted = false;
        while (!taskExecutor.commands.empty()) {
            auto command = taskExecutor.takeCommand();
            if (command.kind == "start") {
                isStarted = isStarted || command.start.task.job == job;
                runs[command.address].push_back({ .task = command.start.task, .run = command.run });
            }
            command.reply(replyOf(command.address));
        }
        return isStarted;
    }

    std::optional<Milliseconds> timeUntilStartOf(const std::string& job, Instant since, Milliseconds maxTime)
    {
        bool isStarted = acceptStarts(job);
        for (auto end = clock.now() + maxTime; !isStarted && clock.now() < end;) {
            run(Milliseconds { 20 });
            isStarted = acceptStarts(job);
        }
        return isStarted ? std::optional { clock.now() - since } : std::nullopt;
    }
};

// Guards against a task that starts elsewhere before its start by the killed leader can have been executed and its
// lease have expired (issue 52).
TEST(LateStarts, TaskWaitsUntilItsLateStartHasEnded)
{
    startWithoutReply();
    replaceLeader();
    auto wait = timeUntilStartOf("j", startSentAt, Milliseconds { 40'000 });
    CHECK(wait.has_value());
    CHECK_COMPARE(wait->count(), >=, (maxCallDelay + longestLease).count());
}

// Guards against a gang that starts elsewhere because only one of its members has a start without a reply.
TEST(LateStarts, GangWaitsForTheLateStartOfOneMember)
{
    startWithoutReply(true);
    replaceLeader();
    auto wait = timeUntilStartOf("j", startSentAt, Milliseconds { 40'000 });
    CHECK(wait.has_value());
    CHECK_COMPARE(wait->count(), >=, (maxCallDelay + longestLease).count());
}

// Guards against all other tasks of the killed leader waiting as long.
TEST(LateStarts, OtherTasksDoNotWait)
{
    startWithoutReply();
    replaceLeader();
    auto wait = timeUntilStartOf("other", electedAt, Milliseconds { 40'000 });
    CHECK(wait.has_value());
    CHECK_COMPARE(wait->count(), >=, longestLease.count());
    CHECK_COMPARE(wait->count(), <=, maxWaitForOthers.count());
}

// Guards against a second run of a task whose late start the worker has executed before the leader reaches it.
TEST(LateStarts, LateRunIsKept)
{
    startWithoutReply();
    replaceLeader();
    run(Milliseconds { 11'000 });
    runs["w1"] = { { .task = unanswered.task, .run = unanswered.run } };
    silent.clear();
    CHECK(!timeUntilStartOf("j", clock.now(), Milliseconds { 30'000 }).has_value());
}

// Guards against a task that is held back although the worker has replied, which refuses the late start from then on.
TEST(LateStarts, TaskStartsOnceTheWorkerHasReplied)
{
    startWithoutReply();
    replaceLeader();
    run(Milliseconds { 11'000 });
    silent.clear();
    CHECK(timeUntilStartOf("j", clock.now(), Milliseconds { 1500 }).has_value());
}

// Guards against a start that is stored only after its time-out, which is a second long while replies are lost.
TEST(LateStarts, StartIsStoredBeforeItsTimeOut)
{
    announce("w1");
    elect();
    run(Milliseconds { 1000 });
    silent.insert("w1");
    putJob("j");
    CHECK(timeOfStart(clock.now(), Milliseconds { 2000 }).has_value());
    run(Milliseconds { 240 });
    auto stored = storedStarts();
    CHECK_EQUAL(1, stored.size());
    CHECK_EQUAL("w1", stored.front().worker);
    CHECK_EQUAL(bornMs, stored.front().workerStartedAtMs);
}

// Guards against a leader between that loses what its predecessor has stored.
TEST(LateStarts, LeaderAfterTheNextHoldsTheTaskToo)
{
    startWithoutReply();
    replaceLeader();
    run(Milliseconds { 2000 });
    elect();
    auto wait = timeUntilStartOf("j", startSentAt, Milliseconds { 40'000 });
    CHECK(wait.has_value());
    CHECK_COMPARE(wait->count(), >=, (maxCallDelay + longestLease).count());
}

// Guards against a record that keeps starts that cannot be executed any more.
TEST(LateStarts, RecordIsEmptiedOnceTheStartsAreOver)
{
    startWithoutReply();
    replaceLeader();
    CHECK_EQUAL(1, storedStarts().size());
    silent.clear();
    CHECK(timeUntilStartOf("j", clock.now(), Milliseconds { 15'000 }).has_value());
    run(maxCallDelay + Milliseconds { 2000 });
    CHECK(storedStarts().empty());
}

// Guards against tasks that wait for the start on a worker that has only fallen silent: it refuses the start once the
// lease in it has expired.
TEST(LateStarts, SilentWorkerThatHasNotRestartedIsWaitedForAsBefore)
{
    startWithoutReply();
    announce("w2");
    run(Milliseconds { 1000 });
    elect();
    auto wait = timeUntilStartOf("j", electedAt, Milliseconds { 40'000 });
    CHECK(wait.has_value());
    CHECK_COMPARE(wait->count(), <=, maxWaitForOthers.count());
}
