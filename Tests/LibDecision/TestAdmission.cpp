#include <CppUTest/TestHarness.h>
#include <LibDecision/Admission.h>

using namespace Bergamot;
using Outcome = Admission::Outcome;
using Reason = Admission::Reason;

TEST_GROUP(Admission) { static Instant at(int ms) { return epochInstant + Milliseconds(ms);
}

// Two slots and a service time of 10 ms, so that each queued request adds 5 ms to the estimated wait.
static Admission makeAdmission(int64_t maxQueued = 100)
{
    auto admission = Admission::create({ .maxQueued = maxQueued });
    CHECK(admission.ok());
    CHECK(admission->setSlots(2).ok());
    return std::move(*admission);
}

static Admission::Decision offer(
    Admission& admission, uint64_t id, Priority priority = Priority::Critical, int deadlineMs = 1000)
{
    auto decision = admission.offer({ .id = id, .priority = priority, .deadline = at(deadlineMs) }, at(0));
    CHECK(decision.ok());
    return *decision;
}
}
;

// Guards against queues that delay every request beyond the target, and against rejections while slots are free.
TEST(Admission, RequestsAreRejectedBeforeTheQueueDelayExceedsTheTarget)
{
    auto admission = makeAdmission();
    for (uint64_t id = 1; id <= 6; ++id)
        CHECK(offer(admission, id).outcome == (id <= 2 ? Outcome::Start : Outcome::Queue));
    const auto rejected = offer(admission, 7);
    CHECK(rejected.outcome == Outcome::Reject);
    CHECK(rejected.reason == Reason::Delay);
    CHECK(rejected.retryAfter == Milliseconds(25));
}

// Guards against running requests that cannot end before their deadline, when the caller has given up.
TEST(Admission, RequestsThatCannotMeetTheirDeadlineAreRejected)
{
    auto admission = makeAdmission();
    CHECK(offer(admission, 1, Priority::Critical, 9).reason == Reason::Deadline);
    CHECK(offer(admission, 2, Priority::Critical, 10).outcome == Outcome::Start);
    CHECK(offer(admission, 3).outcome == Outcome::Start);
    CHECK(offer(admission, 4, Priority::Critical, 14).reason == Reason::Deadline);
    CHECK(offer(admission, 5, Priority::Critical, 15).outcome == Outcome::Queue);
    CHECK(offer(admission, 6).outcome == Outcome::Queue);
    CHECK(admission.finish(2, Milliseconds(10), at(10)).ok());
    // Request 5 would end at 20 ms, after its deadline of 15 ms, and is rejected when it reaches the head of the queue.
    auto result = admission.startQueued(at(10));
    CHECK(result.ok());
    CHECK(result->rejected == std::vector<Admission::RejectedRequest>({ { .id = 5, .reason = Reason::Deadline } }));
    CHECK(result->started == std::vector<uint64_t>({ 6 }));
}

// Guards against requests of a high priority class that wait behind, or are rejected because of, lower classes.
TEST(Admission, HigherClassesStartFirstAndDisplaceLowerOnes)
{
    auto admission = makeAdmission(2);
    offer(admission, 1);
    offer(admission, 2);
    CHECK(offer(admission, 3, Priority::Sheddable).outcome == Outcome::Queue);
    CHECK(offer(admission, 4, Priority::Normal).outcome == Outcome::Queue);
    auto critical = offer(admission, 5);
    CHECK(critical.outcome == Outcome::Queue);
    CHECK(critical.displaced == Admission::RejectedRequest({ .id = 3, .reason = Reason::Displaced }));
    CHECK(offer(admission, 6, Priority::Sheddable).reason == Reason::Delay);
    auto shortQueue = makeAdmission(1);
    for (uint64_t id = 1; id <= 3; ++id)
        offer(shortQueue, id);
    CHECK(offer(shortQueue, 4).reason == Reason::QueueFull);
    CHECK(admission.finish(1, Milliseconds(10), at(10)).ok());
    CHECK(admission.startQueued(at(10))->started == std::vector<uint64_t>({ 5 }));
    CHECK(admission.requeue(5, at(10)).ok());
    CHECK(admission.cancel(4).ok());
    CHECK(admission.startQueued(at(10))->started == std::vector<uint64_t>({ 5 }));
    LONGS_EQUAL(0, admission.queued());
}

// Guards against crashes and state changes on invalid arguments.
TEST(Admission, InvalidArgumentsAreRejected)
{
    CHECK(!Admission::create({ .maxQueued = -1 }).ok());
    CHECK(!Admission::create({ .targetQueueDelay = Milliseconds(0) }).ok());
    CHECK(!Admission::create({ .delayShareMillis = { 1001, 0, 0 } }).ok());
    auto admission = makeAdmission();
    CHECK(!admission.setSlots(-1).ok());
    CHECK(!admission.offer({ .id = 1, .priority = static_cast<Priority>(9) }, at(0)).ok());
    offer(admission, 1);
    CHECK(!admission.offer({ .id = 1, .deadline = at(1000) }, at(0)).ok());
    CHECK(!admission.finish(2, Milliseconds(1), at(0)).ok());
    CHECK(!admission.finish(1, Milliseconds(-1), at(0)).ok());
    CHECK(!admission.cancel(1).ok());
    CHECK(!admission.requeue(2, at(0)).ok());
    CHECK(admission.startQueued(at(5)).ok());
    CHECK(!admission.startQueued(at(4)).ok());
    CHECK(admission.setSlots(0).ok());
    CHECK(admission.offer({ .id = 2, .deadline = at(1000) }, at(5))->reason == Reason::Delay);
}
