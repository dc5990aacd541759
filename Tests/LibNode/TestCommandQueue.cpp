#include <CppUTest/TestHarness.h>
#include <LibNode/CommandQueue.h>
#include <optional>
#include <vector>

using namespace Bergamot;

TEST_GROUP(CommandQueue)
{
    CommandQueue queue;

    static TaskRef task(uint64_t run) { return { "j", 0, 0, static_cast<uint32_t>(run) }; }
    static StartTask startOf(uint64_t run) { return { .worker = 1, .task = task(run), .run = run }; }
    static StopTask stopOf(uint64_t run, StopReason reason = StopReason::JobEnded)
    {
        return { .worker = 1, .task = task(run), .run = run, .reason = reason };
    }
    static ThrottleRun paceOf(uint64_t run, uint32_t speedPercent)
    {
        return { .worker = 1, .task = task(run), .run = run, .speedPercent = speedPercent };
    }

    void checkCommands(const std::vector<TaskAction>& expected)
    {
        for (const auto& action : expected) {
            CHECK_FALSE(queue.isEmpty());
            CHECK(queue.takeFront() == action);
        }
        CHECK(queue.isEmpty());
    }
};

// Guards against a queue that grows with each report while the worker answers slowly, so that the newest pace and each
// start come seconds late.
TEST(CommandQueue, NewestPaceReplacesAWaitingOne)
{
    queue.push(paceOf(1, 90));
    queue.push(paceOf(2, 80));
    queue.push(paceOf(3, 70));
    queue.beginFront();
    queue.push(paceOf(1, 50));
    queue.push(paceOf(2, 60));
    checkCommands({ paceOf(1, 90), paceOf(2, 60), paceOf(3, 70), paceOf(1, 50) });
}

// Guards against equal stops, and against paces of a run that is to be stopped, which occupy a slow worker.
TEST(CommandQueue, StopOfARunIsQueuedOnceAndReplacesItsPaces)
{
    queue.push(paceOf(1, 50));
    queue.push(paceOf(9, 50));
    queue.push(stopOf(9));
    queue.push(stopOf(9));
    queue.push(paceOf(9, 40));
    checkCommands({ stopOf(9), paceOf(1, 50) });
}

// Guards against a start that waits behind throttles, each of which takes a round trip: at 900 throttles a second,
// short tasks of the large Riga site waited for seconds (SHORT on day trouble-1).
TEST(CommandQueue, StartPrecedesThrottlesThatAreNotDue)
{
    Instant now { Milliseconds { 10000 } };
    queue.push(paceOf(1, 90), now);
    queue.beginFront();
    queue.push(paceOf(2, 80), now);
    queue.push(startOf(3), now);
    queue.push(paceOf(4, 70), now);
    queue.push(startOf(5), now + Milliseconds { 100 });
    checkCommands({ paceOf(1, 90), startOf(3), startOf(5), paceOf(2, 80), paceOf(4, 70) });
}

// Guards against throttles that never get their turn on a worker with many starts, while a serving task misses its
// target.
TEST(CommandQueue, ThrottleThatIsDueKeepsItsPlace)
{
    Instant now { Milliseconds { 10000 } };
    queue.push(paceOf(1, 90), now);
    queue.push(startOf(2), now + Milliseconds { 600 });
    checkCommands({ paceOf(1, 90), startOf(2) });
}

// Guards against forgetting that an earlier attempt may have delivered a start, when other commands were sent
// meanwhile.
TEST(CommandQueue, StartWithoutReplyBecomesAStop)
{
    queue.push(startOf(1));
    queue.push(startOf(2));
    queue.beginFront();
    queue.push(stopOf(9));
    CHECK_EQUAL(1, queue.recordFailure());
    queue.postponeFront();
    auto removed = queue.removeStarts([](const StartTask&) { return true; });
    CHECK_EQUAL(1, removed.size());
    CHECK_EQUAL(2, removed[0].run);
    checkCommands({ stopOf(9), stopOf(1, StopReason::StartWithdrawn) });
}

// Guards against taking a start that may have been delivered for one that needs no stop.
TEST(CommandQueue, OnlyAnUnsentStartIsCancelledWithoutAStop)
{
    std::optional<StartTask> removed;
    queue.push(startOf(1));
    queue.push(startOf(2));
    CHECK(queue.removeStartOf(stopOf(2), removed) == CommandQueue::StartState::RemovedUnsent);
    CHECK_EQUAL(2, removed->run);
    queue.beginFront();
    CHECK(queue.removeStartOf(stopOf(1), removed) == CommandQueue::StartState::NotRemoved);
    queue.recordFailure();
    CHECK(queue.removeStartOf(stopOf(1), removed) == CommandQueue::StartState::RemovedUnanswered);
    CHECK(queue.isEmpty());
}

// Guards against a run that the leader tracks twice on a restarted worker, because its start and its stop are queued.
TEST(CommandQueue, PossibleRunsAreListedOnce)
{
    queue.push(startOf(1));
    queue.push(startOf(2));
    queue.push(startOf(3));
    queue.beginFront();
    queue.push(stopOf(1));
    queue.push(paceOf(9, 50));
    CHECK((queue.stopsOfPossibleRuns() == std::vector { stopOf(1) }));
    queue.recordFailure();
    queue.postponeFront();
    CHECK((queue.stopsOfPossibleRuns() == std::vector { stopOf(1) }));
}

// Guards against two stops of one run, which the scheduler would take for two runs of its task.
TEST(CommandQueue, EachPossibleRunHasOneStop)
{
    queue.push(startOf(1));
    queue.beginFront();
    queue.push(stopOf(1));
    queue.push(stopOf(9));
    auto stops = queue.stopsOfPossibleRuns();
    CHECK_EQUAL(2, stops.size());
    CHECK(stops[0].run != stops[1].run);
}
