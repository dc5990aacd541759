#include "MockTaskExecutor.h"
#include "NodeTestClock.h"
#include <CppUTest/TestHarness.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/WorkerSession.h>
#include <memory>
#include <vector>

using namespace Bergamot;

TEST_GROUP(WorkerSession)
{
    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    MockTaskExecutor host;
    Milliseconds reportWait { 500 };
    std::shared_ptr<CallWindow> questionWindow { std::make_shared<CallWindow>(1) };
    CallTimeout orderTimeout { { .minTimeout = Milliseconds { 250 }, .maxTimeout = Milliseconds { 1000 } } };
    std::vector<uint64_t> startedRuns;
    std::vector<bool> reachable;
    int lapses { 0 };
    int otherLives { 0 };
    bool closesAtIncarnationMismatch { false };
    int fences { 0 };
    std::unique_ptr<WorkerSession> session { std::make_unique<WorkerSession>(*loop, host,
        WorkerSession::Options { .host = { .id = "w1", .address = "a:1" },
            .startedAtMs = 50,
            .epoch = 3,
            .lease = Milliseconds { 6000 },
            .orderTimeout = orderTimeout,
            .reportWait = reportWait,
            .questionWindow = questionWindow,
            .events = { .onReport = [](const RenewLeaseReply&, Instant) {},
                .onStartAnswered
                = [this](const StartTask& start, TaskCommandOutcome) { startedRuns.push_back(start.run); },
                .onStopAccepted = [](const TaskRef&, uint64_t) {},
                .onReachableChanged = [this](bool now) { reachable.push_back(now); },
                .onLapsed = [this] { ++lapses; },
                .onIncarnationMismatch =
                    [this] {
                        ++otherLives;
                        if (closesAtIncarnationMismatch)
                            session->close();
                    },
                .onFenced = [this] { ++fences; } } }) };

    void pass(Milliseconds time)
    {
        constexpr Milliseconds step { 50 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.pass(step);
            loop->runReady();
        }
    }

    static RenewLeaseReply answerAt(int64_t clockMs, std::vector<RunEnd> ends = {})
    {
        return { .commandReply = { .clockMs = clockMs, .startedAtMs = 50 }, .ended = std::move(ends) };
    }

    void connect()
    {
        session->start();
        loop->runReady();
        host.takeRenewLeaseCall().answer(answerAt(1000));
        loop->runReady();
    }

    static TaskAction startOf(uint64_t run)
    {
        return StartTask { .worker = 1, .task = { "j", 0, 0, static_cast<uint32_t>(run) }, .run = run };
    }
};

// Guards against an order that leaves the queue twice when its own answer shows that the worker is back: day fresh-ade8
// of the Sofia site ended the process and sent an order without a task.
TEST(WorkerSession, AnswerThatRegainsTheWorkerFinishesOneOrder)
{
    connect();
    session->order(startOf(1));
    session->order(startOf(2));
    for (int i = 0; i < 3; ++i) {
        loop->runReady();
        if (!host.renewLeaseCalls.empty())
            host.takeRenewLeaseCall().answer(absl::DeadlineExceededError("lost"));
        pass(Milliseconds { 200 });
    }
    CHECK_FALSE(session->isReachable());
    session->order(StopTask { .worker = 1, .task = { "j", 0, 0, 9 }, .run = 9 });
    CHECK_EQUAL(1, host.orders.size());
    host.takeOrder().answer(TaskCommandReply { .clockMs = 2000, .startedAtMs = 50 });
    CHECK(session->isReachable());
    CHECK_EQUAL(1, host.orders.size());
    auto second = host.takeOrder();
    STRCMP_EQUAL("stop", second.kind.c_str());
    second.answer(TaskCommandReply { .clockMs = 2001, .startedAtMs = 50 });
    CHECK_EQUAL(2, startedRuns.size());
    CHECK_EQUAL(2, startedRuns[0]);
    CHECK_EQUAL(1, startedRuns[1]);
    CHECK(host.orders.empty());
}

// Guards against leases that never lapse because questions to a silent worker keep renewing them, and against a lapse
// that is declared while the worker's slow clock still runs.
TEST(WorkerSession, SilentWorkerLapsesAfterItsLeaseOnASlowClock)
{
    connect();
    loop->runReady();
    auto lastRenewal = clock.now();
    while (lapses == 0 && clock.now() - lastRenewal < Milliseconds { 20000 }) {
        if (!host.renewLeaseCalls.empty())
            host.takeRenewLeaseCall().answer(absl::DeadlineExceededError("lost"));
        pass(Milliseconds { 100 });
    }
    CHECK_EQUAL(1, lapses);
    CHECK(clock.now() - lastRenewal >= Milliseconds { 6120 });
    CHECK(clock.now() - lastRenewal < Milliseconds { 8000 });
}

// Guards against ends that the worker forgets before they are stored, and against an acknowledgement that is repeated
// to a later life of the worker.
TEST(WorkerSession, EndsAreAcknowledgedOnceWhenStored)
{
    connect();
    pass(Milliseconds { 50 });
    host.takeRenewLeaseCall().answer(answerAt(1100, { { .sequence = 4, .task = { "j", 0, 0, 0 }, .run = 1 } }));
    pass(Milliseconds { 600 });
    auto unstored = host.takeRenewLeaseCall();
    CHECK_EQUAL(0, unstored.request.acknowledged);
    unstored.answer(answerAt(1700, { { .sequence = 4, .task = { "j", 0, 0, 0 }, .run = 1 } }));
    session->acknowledge(4);
    pass(Milliseconds { 50 });
    auto stored = host.takeRenewLeaseCall();
    CHECK_EQUAL(4, stored.request.acknowledged);
    stored.answer(answerAt(1800));
    pass(Milliseconds { 50 });
    CHECK_EQUAL(0, host.takeRenewLeaseCall().request.acknowledged);
}

// Guards against a leader that goes on after a later one was seen, and against orders for a life that is over.
TEST(WorkerSession, FenceAndOtherBirthAreReported)
{
    connect();
    pass(Milliseconds { 50 });
    host.takeRenewLeaseCall().answer(RenewLeaseReply { .commandReply = { .outcome = TaskCommandOutcome::Fenced } });
    CHECK_EQUAL(1, fences);
    session->order(startOf(1));
    host.takeOrder().answer(TaskCommandReply { .clockMs = 5, .startedAtMs = 60 });
    CHECK_EQUAL(1, otherLives);
}

// Guards against a task that starts seconds after its job was cancelled, because the start waited in the queue of a
// worker that did not answer (UNASKED on day trouble-1 of the Sofia site).
TEST(WorkerSession, StartIsNotDeliveredAfterItsStop)
{
    connect();
    session->order(startOf(1));
    session->order(startOf(2));
    session->order(StopTask { .worker = 1, .task = { "j", 0, 0, 2 }, .run = 2 });
    session->order(StopTask { .worker = 1, .task = { "j", 0, 0, 1 }, .run = 1 });
    CHECK_EQUAL(1, startedRuns.size());
    CHECK_EQUAL(2, startedRuns[0]);
    host.takeOrder().answer(absl::DeadlineExceededError("lost"));
    pass(Milliseconds { 300 });
    auto next = host.takeOrder();
    STRCMP_EQUAL("stop", next.kind.c_str());
    CHECK_EQUAL(1, next.run);
}

// Guards against a lost answer that holds up the start and everything behind it for a second: days with late orders.
TEST(WorkerSession, LostAnswerOfAnOrderCostsAFewUsualResponseTimes)
{
    connect();
    session->order(startOf(1));
    auto first = host.takeOrder();
    CHECK_EQUAL(250, first.timeout.count());
    pass(first.timeout);
    first.answer(absl::DeadlineExceededError("lost"));
    loop->runReady();
    CHECK_EQUAL(1, host.orders.size());
    auto repeat = host.takeOrder();
    CHECK_EQUAL(1, repeat.run);
    CHECK_EQUAL(500, repeat.timeout.count());
    repeat.answer(TaskCommandReply { .clockMs = 2000, .startedAtMs = 50 });
    CHECK_EQUAL(1, startedRuns.size());
    CHECK_EQUAL(250, orderTimeout.current().count());
}

// Guards against reports that take the leader's processor time on hundreds of workers, and against a change that only
// new workers follow.
TEST(WorkerSession, ReportsFollowTheLeadersInterval)
{
    connect();
    RenewLeaseReply busy { .commandReply = { .clockMs = 1100, .startedAtMs = 50 }, .running = { { .run = 1 } } };
    host.takeRenewLeaseCall().answer(busy);
    loop->runReady();
    auto call = host.takeRenewLeaseCall();
    CHECK_EQUAL(500, call.request.wait.count());
    reportWait = Milliseconds { 800 };
    call.answer(busy);
    loop->runReady();
    CHECK_EQUAL(800, host.takeRenewLeaseCall().request.wait.count());
}

// Guards against events of a link whose worker is forgotten: the sweep at 300 hosts ended the leader when a worker that
// had started again answered a question and an order in one turn of the loop.
TEST(WorkerSession, ClosedLinkReportsNothingMore)
{
    connect();
    closesAtIncarnationMismatch = true;
    session->order(startOf(1));
    auto order = host.takeOrder();
    auto call = host.takeRenewLeaseCall();
    order.answer(TaskCommandReply { .outcome = TaskCommandOutcome::IncarnationMismatch });
    CHECK_EQUAL(1, otherLives);
    call.answer(RenewLeaseReply { .commandReply = { .outcome = TaskCommandOutcome::IncarnationMismatch } });
    pass(Milliseconds { 12000 });
    CHECK_EQUAL(1, otherLives);
    CHECK_EQUAL(0, lapses);
    CHECK_EQUAL(0, startedRuns.size());
}

// Guards against first questions that are all opened at once: those to 3,000 workers took the leader longer than their
// time-out, and each that was given up opened another connection.
TEST(WorkerSession, FirstQuestionsWaitForTheWindowAndOrdersDoNot)
{
    std::vector<uint64_t> started;
    auto makeLink = [&] {
        return std::make_unique<WorkerSession>(*loop, host,
            WorkerSession::Options { .host = { .id = "w2", .address = "a:2" },
                .startedAtMs = 50,
                .epoch = 3,
                .lease = Milliseconds { 6000 },
                .orderTimeout = orderTimeout,
                .reportWait = reportWait,
                .questionWindow = questionWindow,
                .events = { .onReport = [](const RenewLeaseReply&, Instant) {},
                    .onStartAnswered
                    = [&](const StartTask& start, TaskCommandOutcome) { started.push_back(start.run); },
                    .onStopAccepted = [](const TaskRef&, uint64_t) {},
                    .onReachableChanged = [](bool) {},
                    .onLapsed = [] {},
                    .onIncarnationMismatch = [] {},
                    .onFenced = [] {} } });
    };
    auto forgotten = makeLink();
    auto second = makeLink();
    session->start();
    forgotten->start();
    second->start();
    CHECK_EQUAL(1, host.renewLeaseCalls.size());
    // A link that ends while it waits must not keep its place.
    forgotten.reset();
    host.takeRenewLeaseCall().answer(absl::DeadlineExceededError("lost"));
    CHECK_EQUAL(1, host.renewLeaseCalls.size());
    host.takeRenewLeaseCall().answer(answerAt(1000));
    pass(Milliseconds { 200 });
    // The worker that has answered is asked on its open connection, whatever the window holds.
    CHECK_EQUAL(2, host.renewLeaseCalls.size());
    CHECK_EQUAL(1, questionWindow->inProgress());
    host.takeRenewLeaseCall();
    host.takeRenewLeaseCall().answer(answerAt(1000));
    // Orders never wait for other workers: runs of a gang would end alone, and stops of cancelled jobs would come late
    // (GANG and UNASKED on varied days gangs-and-repeats of the grown Sofia site, while the leader was behind).
    CHECK(session->isReachable());
    session->order(startOf(1));
    second->order(startOf(2));
    CHECK_EQUAL(2, host.orders.size());
}
