#include "MockTaskExecutor.h"
#include "NodeTestClock.h"
#include <CppUTest/TestHarness.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/WorkerSession.h>
#include <memory>
#include <vector>

using namespace Bergamot;

/// Calls to a worker that may have been restarted under its id since its last reply.
TEST_GROUP(WorkerSessionIncarnations)
{
    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    MockTaskExecutor taskExecutor;
    Milliseconds reportWait { 500 };
    CallTimeout commandTimeout { { .minTimeout = Milliseconds { 250 }, .maxTimeout = Milliseconds { 1000 } } };
    CallTimeout acknowledgementTimeout { { .minTimeout = Milliseconds { 150 }, .maxTimeout = Milliseconds { 800 } } };
    std::vector<uint64_t> startedRuns;
    int incarnationMismatches { 0 };
    std::vector<StopTask> possibleRuns;
    WorkerSession session { *loop, taskExecutor, makeOptions() };

    WorkerSession::Options makeOptions()
    {
        return { .executor = { .id = "w1", .address = "a:1" },
            .startedAtMs = 50,
            .commandTimeout = commandTimeout,
            .acknowledgementTimeout = acknowledgementTimeout,
            .reportWait = reportWait,
            .canStart = [](const StartTask&) { return true; },
            .renewalLimiter = std::make_shared<ConcurrencyLimiter>(1),
            .events = { .onReport = [](const RenewLeaseReply&, Instant) {},
                .onStartReply
                = [this](const StartTask& start, TaskCommandOutcome) { startedRuns.push_back(start.run); },
                .onStopAccepted = [](const TaskRef&, uint64_t) {},
                .onReachabilityChanged = [](bool) {},
                .onConnectionsBroken = [] {},
                .onLeaseExpired = [] {},
                .onIncarnationMismatch =
                    [this] {
                        ++incarnationMismatches;
                        possibleRuns = session.stopsOfPossibleRuns();
                    },
                .onFenced = [] {} } };
    }

    void advance(Milliseconds time)
    {
        constexpr Milliseconds step { 50 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.advance(step);
            loop->runReady();
        }
    }

    static RenewLeaseReply replyAt(int64_t clockMs, std::vector<RunEnd> ends = {})
    {
        return { .commandReply = { .clockMs = clockMs, .startedAtMs = 50 },
            .ended = std::move(ends),
            .endCoverage = RunEndCoverage::All };
    }

    /// Whether a lease of the longest duration is still waited for, after it is known to have expired by a time, once
    /// an incarnation with this start time has replied.
    bool mayHoldMisdirectedLeaseAfterReplyOf(int64_t startedAtMs)
    {
        auto options = makeOptions();
        options.mayHoldMisdirectedLease = true;
        options.misdirectedLeaseExpiresBy = clock.now() + Milliseconds { 1000 };
        WorkerSession inherited { *loop, taskExecutor, options };
        taskExecutor.renewLeaseCalls.clear();
        inherited.start(4);
        loop->runReady();
        advance(Milliseconds { 500 });
        auto reply = replyAt(1000);
        reply.commandReply.startedAtMs = startedAtMs;
        taskExecutor.takeRenewLeaseCall().reply(reply);
        loop->runReady();
        CHECK(inherited.mayHoldMisdirectedLease());
        CHECK(inherited.remainingLease() >= options.lease);
        advance(Milliseconds { 1500 });
        return inherited.mayHoldMisdirectedLease();
    }

    void connect()
    {
        session.start(3);
        loop->runReady();
        taskExecutor.takeRenewLeaseCall().reply(replyAt(1000));
        loop->runReady();
    }

    static TaskAction startOf(uint64_t run)
    {
        return StartTask { .worker = 1, .task = { "j", 0, 0, static_cast<uint32_t>(run) }, .run = run };
    }

    static TaskAction stopOf(uint64_t run)
    {
        return StopTask { .worker = 1, .task = { "j", 0, 0, static_cast<uint32_t>(run) }, .run = run };
    }

    void checkNext(const char* kind, uint64_t run)
    {
        CHECK_EQUAL(1, taskExecutor.commands.size());
        STRCMP_EQUAL(kind, taskExecutor.commands.front().kind.c_str());
        CHECK_EQUAL(run, taskExecutor.commands.front().run);
    }

    /// Has an acknowledgement lost or refused, and checks that it is repeated after the next reply.
    void checkAcknowledgementAfter(const absl::StatusOr<RenewLeaseReply>& failure)
    {
        std::vector<RunEnd> ends { { .sequence = 4, .task = { "j", 0, 0, 0 }, .run = 1 } };
        connect();
        advance(Milliseconds { 50 });
        taskExecutor.takeRenewLeaseCall().reply(replyAt(1100, ends));
        session.acknowledge(4);
        advance(Milliseconds { 200 });
        auto call = taskExecutor.takeRenewLeaseCall();
        CHECK_EQUAL(4, call.request.acknowledgedSequence);
        call.reply(failure);
        advance(Milliseconds { 200 });
        call = taskExecutor.takeRenewLeaseCall();
        CHECK_EQUAL(0, call.request.acknowledgedSequence);
        call.reply(replyAt(1500, ends));
        advance(Milliseconds { 50 });
        call = taskExecutor.takeRenewLeaseCall();
        CHECK_EQUAL(4, call.request.acknowledgedSequence);
        call.reply(replyAt(1550));
        advance(Milliseconds { 50 });
        CHECK_EQUAL(0, taskExecutor.takeRenewLeaseCall().request.acknowledgedSequence);
    }
};

// Guards against a second crash by one start: its repeat reaches the new incarnation of the worker that it has crashed.
TEST(WorkerSessionIncarnations, StartWithABrokenConnectionIsNotRepeatedToANewIncarnation)
{
    connect();
    taskExecutor.renewLeaseCalls.clear();
    session.enqueueCommand(startOf(1));
    taskExecutor.takeCommand().reply(absl::UnavailableError("connection reset"));
    session.enqueueCommand(startOf(2));
    advance(Milliseconds { 200 });
    CHECK(taskExecutor.commands.empty());
    taskExecutor.takeRenewLeaseCall().reply(RenewLeaseReply { .commandReply = { .clockMs = 5, .startedAtMs = 60 } });
    CHECK_EQUAL(1, incarnationMismatches);
    CHECK(taskExecutor.commands.empty());
}

// Guards against a start that is never repeated, and against taking a report from before the crash for the proof that
// the worker has not crashed.
TEST(WorkerSessionIncarnations, StartWithABrokenConnectionIsRepeatedAfterALaterReport)
{
    connect();
    session.enqueueCommand(startOf(1));
    taskExecutor.takeCommand().reply(absl::UnavailableError("connection reset"));
    advance(Milliseconds { 200 });
    CHECK(taskExecutor.commands.empty());
    taskExecutor.takeRenewLeaseCall().reply(replyAt(1190));
    CHECK(taskExecutor.commands.empty());
    taskExecutor.takeRenewLeaseCall().reply(replyAt(1200));
    checkNext("start", 1);
    taskExecutor.takeCommand().reply(TaskCommandReply { .clockMs = 1201, .startedAtMs = 50 });
    CHECK_EQUAL(1, startedRuns.size());
}

// Guards against a stop that waits for a proof which its reply gives as well.
TEST(WorkerSessionIncarnations, StopDoesNotWaitForAReportAfterABrokenConnection)
{
    connect();
    session.enqueueCommand(stopOf(9));
    taskExecutor.takeCommand().reply(absl::UnavailableError("connection reset"));
    advance(Milliseconds { 200 });
    checkNext("stop", 9);
}

// Guards against a run that a new incarnation may have and that nobody stops, because its stop was sent beside another
// command: the task would start elsewhere at once.
TEST(WorkerSessionIncarnations, StopSentBesideAnotherIsKeptForANewIncarnation)
{
    connect();
    session.enqueueCommand(stopOf(1));
    session.enqueueCommand(stopOf(2));
    advance(Milliseconds { 1100 });
    CHECK_EQUAL(2, taskExecutor.commands.size());
    taskExecutor.takeRenewLeaseCall().reply(RenewLeaseReply { .commandReply = { .clockMs = 5, .startedAtMs = 60 } });
    CHECK_EQUAL(1, incarnationMismatches);
    CHECK_EQUAL(2, possibleRuns.size());
}

// Guards against the same when the new incarnation refuses the stop.
TEST(WorkerSessionIncarnations, StopSentBesideAnotherThatANewIncarnationRefusesIsKept)
{
    connect();
    session.enqueueCommand(stopOf(1));
    session.enqueueCommand(stopOf(2));
    advance(Milliseconds { 1100 });
    CHECK_EQUAL(2, taskExecutor.commands.size());
    taskExecutor.commands.back().reply(
        TaskCommandReply { .outcome = TaskCommandOutcome::Unhealthy, .clockMs = 5, .startedAtMs = 60 });
    CHECK_EQUAL(1, incarnationMismatches);
    CHECK_EQUAL(2, possibleRuns.size());
}

// Guards against an acknowledgement that is repeated after its reply was lost: it would discard run ends of a new
// incarnation, whose tasks would run again.
TEST(WorkerSessionIncarnations, AcknowledgementThatTimedOutIsNotRepeatedToANewIncarnation)
{
    checkAcknowledgementAfter(absl::DeadlineExceededError("lost"));
}

// Guards against the same after a broken connection.
TEST(WorkerSessionIncarnations, AcknowledgementWithABrokenConnectionIsNotRepeatedToANewIncarnation)
{
    checkAcknowledgementAfter(absl::UnavailableError("connection reset"));
}

// Guards against an acknowledgement that counts as received although the worker has refused it: the worker would answer
// each lease renewal at once with the same run ends, and the leader would send the next one at once.
TEST(WorkerSessionIncarnations, RefusedAcknowledgementIsRepeated)
{
    checkAcknowledgementAfter(RenewLeaseReply { .commandReply = { .outcome = TaskCommandOutcome::Unhealthy } });
}

// Guards against a lease of a new incarnation that nobody knows of: a renewal that is sent after a failed call may
// reach it, and by its clock, which starts anew, the lease lasts longer than by that of the former one. Tasks of a
// crashed worker would also wait for a lease that was extended after the crash.
TEST(WorkerSessionIncarnations, LeaseIsNotExtendedBetweenAFailedCallAndTheNextReply)
{
    connect();
    for (const auto& failure : { absl::UnavailableError("connection reset"), absl::DeadlineExceededError("silent") }) {
        auto renewal = taskExecutor.takeRenewLeaseCall();
        CHECK(renewal.request.leaseUntilMs.has_value());
        auto remainingLease = session.remainingLease();
        renewal.reply(failure);
        advance(Milliseconds { 200 });
        CHECK(session.isReachable());
        CHECK(session.remainingLease() < remainingLease);
        auto inquiry = taskExecutor.takeRenewLeaseCall();
        CHECK_FALSE(inquiry.request.leaseUntilMs.has_value());
        CHECK_EQUAL(0, inquiry.request.wait.count());
        inquiry.reply(replyAt(1200));
        loop->runReady();
    }
    CHECK(taskExecutor.takeRenewLeaseCall().request.leaseUntilMs.has_value());
}

// Guards against runs that are started elsewhere while they go on, because a late reply of an incarnation from before
// is taken for the word of a later one.
TEST(WorkerSessionIncarnations, ReplyOfAnEarlierIncarnationProvesNothing)
{
    connect();
    session.enqueueCommand(startOf(1));
    taskExecutor.takeRenewLeaseCall().reply(RenewLeaseReply { .commandReply = { .clockMs = 5, .startedAtMs = 40 } });
    taskExecutor.takeCommand().reply(TaskCommandReply { .clockMs = 5, .startedAtMs = 40 });
    CHECK_EQUAL(0, incarnationMismatches);
    CHECK(startedRuns.empty());
    CHECK_EQUAL(50, session.startedAtMs());
    // The start was not answered, so it is repeated after a report.
    for (int i = 0; i < 20 && taskExecutor.commands.empty(); ++i) {
        advance(Milliseconds { 50 });
        while (!taskExecutor.renewLeaseCalls.empty() && taskExecutor.commands.empty())
            taskExecutor.takeRenewLeaseCall().reply(replyAt(1300));
    }
    checkNext("start", 1);
    taskExecutor.takeCommand().reply(TaskCommandReply { .clockMs = 1400, .startedAtMs = 50 });
    CHECK_EQUAL(1, startedRuns.size());
    CHECK(session.isReachable());
}

// Guards against a lease by the clock of another incarnation, and against lease renewals of one that has not proved
// that it runs.
TEST(WorkerSessionIncarnations, ReplyWithoutAStartTimeProvesNeitherTheClockNorTheWorker)
{
    connect();
    session.enqueueCommand(stopOf(1));
    for (int i = 0; i < 2; ++i) {
        taskExecutor.takeRenewLeaseCall().reply(absl::DeadlineExceededError("silent"));
        advance(Milliseconds { 200 });
    }
    CHECK_FALSE(session.isReachable());
    auto repliedAt = session.lastReplyAt();
    auto calls = taskExecutor.renewLeaseCalls.size();
    taskExecutor.takeCommand().reply(TaskCommandReply { .clockMs = 1400 });
    CHECK_FALSE(session.isReachable());
    CHECK(session.lastReplyAt() == repliedAt);
    CHECK_EQUAL(calls + 1, taskExecutor.renewLeaseCalls.size());
    taskExecutor.renewLeaseCalls.back().reply(replyAt(1400));
    CHECK(session.isReachable());
}

// Guards against run ends that count as acknowledged because an earlier incarnation has accepted the acknowledgement.
TEST(WorkerSessionIncarnations, AcknowledgementAnsweredByAnEarlierIncarnationIsRepeated)
{
    checkAcknowledgementAfter(RenewLeaseReply { .commandReply = { .clockMs = 5, .startedAtMs = 40 } });
}

// Guards against a worker that is lost for good, because its entry named an incarnation that does not exist.
TEST(WorkerSessionIncarnations, AnnouncedIncarnationGivesWayToTheOneThatReplies)
{
    session.start(3);
    loop->runReady();
    taskExecutor.takeRenewLeaseCall().reply(RenewLeaseReply { .commandReply = { .clockMs = 5, .startedAtMs = 40 } });
    CHECK_EQUAL(0, incarnationMismatches);
    CHECK_EQUAL(40, session.startedAtMs());
    CHECK(session.isReachable());
}

// Guards against runs that are started elsewhere because an entry named the address of another process, or because a
// process from before at the address replies late.
TEST(WorkerSessionIncarnations, RefusalByAnotherProcessProvesTheEndOnlyOfAWorkerThatHasReplied)
{
    session.start(3);
    loop->runReady();
    auto refusalOf = [](int64_t startedAtMs) {
        return RenewLeaseReply { .commandReply
            = { .outcome = TaskCommandOutcome::IncarnationMismatch, .startedAtMs = startedAtMs } };
    };
    taskExecutor.takeRenewLeaseCall().reply(refusalOf(0));
    advance(Milliseconds { 200 });
    taskExecutor.takeRenewLeaseCall().reply(refusalOf(40));
    CHECK_EQUAL(0, incarnationMismatches);
    advance(Milliseconds { 200 });
    taskExecutor.takeRenewLeaseCall().reply(replyAt(1000));
    loop->runReady();
    taskExecutor.takeRenewLeaseCall().reply(refusalOf(40));
    CHECK_EQUAL(0, incarnationMismatches);
    advance(Milliseconds { 200 });
    taskExecutor.takeRenewLeaseCall().reply(refusalOf(0));
    CHECK_EQUAL(1, incarnationMismatches);
}

// Guards against a worker that stays unusable: its leases have expired, so nothing runs that a false proof could
// double.
TEST(WorkerSessionIncarnations, AnyOtherIncarnationCountsOnceTheLeasesHaveExpired)
{
    connect();
    for (int i = 0; i < 200 && incarnationMismatches == 0; ++i) {
        advance(Milliseconds { 50 });
        while (!taskExecutor.renewLeaseCalls.empty() && incarnationMismatches == 0)
            taskExecutor.takeRenewLeaseCall().reply(
                RenewLeaseReply { .commandReply = { .clockMs = 5, .startedAtMs = 40 } });
    }
    CHECK_EQUAL(1, incarnationMismatches);
    CHECK(session.haveLeasesExpired());
}

// Guards against a worker that stays unusable: it never names its incarnation, and its clock has started anew.
TEST(WorkerSessionIncarnations, WorkerThatNamesNoIncarnationIsUsedAgainOnceItsLeasesHaveExpired)
{
    auto unnamedReplyAt = [](int64_t clockMs) {
        return RenewLeaseReply { .commandReply = { .clockMs = clockMs }, .endCoverage = RunEndCoverage::All };
    };
    connect();
    int64_t clockMs = 5;
    bool haveLeasesExpired = false;
    for (int i = 0; i < 200 && !(haveLeasesExpired && session.isReachable()); ++i) {
        advance(Milliseconds { 50 });
        clockMs += 50;
        haveLeasesExpired = haveLeasesExpired || session.haveLeasesExpired();
        while (!taskExecutor.renewLeaseCalls.empty())
            taskExecutor.takeRenewLeaseCall().reply(unnamedReplyAt(clockMs));
    }
    CHECK(haveLeasesExpired);
    CHECK(session.isReachable());
}

// Guards against a lease of the longest duration that counts as expired because another incarnation has replied before.
TEST(WorkerSessionIncarnations, EarlierFirstReplyCountsForItsIncarnationOnly)
{
    CHECK_FALSE(mayHoldMisdirectedLeaseAfterReplyOf(50));
    CHECK(mayHoldMisdirectedLeaseAfterReplyOf(40));
    constexpr int64_t unnamed = 0;
    CHECK(mayHoldMisdirectedLeaseAfterReplyOf(unnamed));
}
