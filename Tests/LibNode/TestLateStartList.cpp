#include <CppUTest/TestHarness.h>
#include <LibNode/LateStarts.h>
#include <LibWire/ValueCodec.h>

using namespace Bergamot;

TEST_GROUP(LateStartList)
{
    static UnansweredStart start(uint64_t run)
    {
        return { .epoch = 1234567,
            .worker = "i-0123456789",
            .workerStartedAtMs = 1'796'614'652'000,
            .job = "0123456789abcdef",
            .occurrence = 0,
            .step = 1,
            .index = 300,
            .run = run };
    }

    LateStarts list;
    Instant now { epochInstant };
};

// Guards against a write for each attempt of one start.
TEST(LateStartList, RepeatOfAStartChangesNothing)
{
    list.add(start(1), now);
    CHECK(list.isDue(now));
    list.collect(now);
    now += Milliseconds { 500 };
    list.add(start(1), now + Milliseconds { 1000 });
    CHECK(!list.isDue(now));
    CHECK_EQUAL(1, list.size());
    list.forEach([&](const LateStarts::Entry& it) { CHECK(it.executedBy == now + Milliseconds { 1000 }); });
}

// Guards against records, and a rate of writes, that grow with the number of starts.
TEST(LateStartList, BytesAreBounded)
{
    constexpr size_t maxBytesPerSecond { 50'000 };
    constexpr size_t maxBytesOfList { 6'000 };
    constexpr int seconds { 10 };
    size_t bytes = 0;
    uint64_t run = 0;
    for (Milliseconds passed { 0 }; passed < Milliseconds { seconds * 1000 }; passed += Milliseconds { 2 }) {
        now += Milliseconds { 2 };
        list.add(start(1'200'000'000'000 + ++run), now);
        if (!list.isDue(now))
            continue;
        for (const auto& [number, starts] : list.collect(now)) {
            CHECK_COMPARE(number, <, LateStarts::listCount);
            CHECK_COMPARE(encodeValue(starts).size(), <=, maxBytesOfList);
            bytes += encodeValue(starts).size();
        }
    }
    CHECK_EQUAL(LateStarts::listCount * LateStarts::maxStartsOfList, list.size());
    CHECK_COMPARE(bytes, <=, maxBytesPerSecond * seconds);
}

// Guards against a write for each start that is over.
TEST(LateStartList, RemovalsShareAWrite)
{
    constexpr size_t removals { 50 };
    for (uint64_t run = 1; run <= removals; ++run)
        list.add(start(run), now);
    list.collect(now);
    size_t writes = 0;
    for (uint64_t run = 1; run <= removals; ++run) {
        now += Milliseconds { 1000 };
        list.eraseIf([&](const LateStarts::Entry& it) { return it.start.run == run; });
        if (list.isDue(now)) {
            list.collect(now);
            ++writes;
        }
    }
    CHECK_EQUAL(1, writes);
}

// Guards against starts of an earlier leader that this one overwrites before they are over (issue 52).
TEST(LateStartList, StartsOfAnEarlierLeaderAreNotOverwritten)
{
    constexpr size_t earlierList { 1 };
    list.restore(earlierList, start(1), now);
    for (uint64_t run = 2; run <= 3 * LateStarts::maxStartsOfList; ++run)
        list.add(start(run), now);
    CHECK(!list.collect(now).contains(earlierList));
    list.eraseIf([&](const LateStarts::Entry& it) { return it.start.run == 1; });
    now += Milliseconds { 2000 };
    CHECK(list.collect(now).at(earlierList).starts.empty());
}

// Guards against taking a task for idle although a worker may execute a start of it late.
TEST(LateStartList, TaskOfAKnownStartMayHaveOne)
{
    list.add(start(1), now);
    TaskRef task { .job = "0123456789abcdef", .step = 1, .index = 300 };
    CHECK(list.mayHold(task));
    task.index = 301;
    CHECK_FALSE(list.mayHold(task));
}

// Guards against the same for starts that found no list.
TEST(LateStartList, AnyTaskMayHaveAStartOnceTheListsAreFull)
{
    const TaskRef other { .job = "j" };
    uint64_t run = 0;
    while (list.size() + 1 < LateStarts::listCount * LateStarts::maxStartsOfList)
        list.add(start(++run), now);
    CHECK_FALSE(list.mayHold(other));
    list.add(start(++run), now);
    CHECK(list.mayHold(other));
}

// Guards against taking a task for idle although its start, for which there was no list, may still be executed.
TEST(LateStartList, StartWithoutAListIsNotForgottenOnceAListIsFree)
{
    const Milliseconds delay { 12000 };
    const TaskRef task { .job = "0123456789abcdef", .step = 1, .index = 301 };
    uint64_t run = 0;
    while (list.size() < LateStarts::listCount * LateStarts::maxStartsOfList)
        list.add(start(++run), now);
    auto dropped = start(++run);
    dropped.index = task.index;
    list.add(dropped, now + delay);
    CHECK(list.mayHold(task));
    list.eraseIf([](const LateStarts::Entry& it) { return it.start.run <= LateStarts::maxStartsOfList; });
    CHECK(list.mayHold(task));
}
