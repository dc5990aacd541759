#include <CppUTest/TestHarness.h>
#include <LibDecision/Admission.h>

using namespace Bergamot;
using Verdict = Admission::Verdict;
using Reason = Admission::Reason;

TEST_GROUP(Admission) { static Instant at(int ms) { return epochInstant + Milliseconds(ms);
}

// 2 slots and 10 ms of service, so that each queued request adds 5 ms.
static Admission admissionOf(int64_t maxQueued = 100)
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

// Guards against queues that make every request late, and against refusals while slots are free.
TEST(Admission, RequestsAreRefusedBeforeTheQueueExceedsTheTarget)
{
    auto admission = admissionOf();
    for (uint64_t id = 1; id <= 6; ++id)
        CHECK(offer(admission, id).verdict == (id <= 2 ? Verdict::Start : Verdict::Queue));
    const auto refused = offer(admission, 7);
    CHECK(refused.verdict == Verdict::Refuse);
    CHECK(refused.reason == Reason::Delay);
    CHECK(refused.retryAfter == Milliseconds(25));
}

// Guards against work on requests whose caller has given up.
TEST(Admission, RequestsThatCannotMeetTheirDeadlineAreRefused)
{
    auto admission = admissionOf();
    CHECK(offer(admission, 1, Priority::Critical, 9).reason == Reason::Deadline);
    CHECK(offer(admission, 2, Priority::Critical, 10).verdict == Verdict::Start);
    CHECK(offer(admission, 3).verdict == Verdict::Start);
    CHECK(offer(admission, 4, Priority::Critical, 14).reason == Reason::Deadline);
    CHECK(offer(admission, 5, Priority::Critical, 15).verdict == Verdict::Queue);
    CHECK(offer(admission, 6).verdict == Verdict::Queue);
    CHECK(admission.finish(2, Milliseconds(10), at(10)).ok());
    // The fifth request would end at 20 ms and is refused when its turn comes.
    auto batch = admission.take(at(10));
    CHECK(batch.ok());
    CHECK(batch->refused == std::vector<Admission::Refusal>({ { .id = 5, .reason = Reason::Deadline } }));
    CHECK(batch->started == std::vector<uint64_t>({ 6 }));
}

// Guards against important requests that wait behind others.
TEST(Admission, HigherClassesGoFirstAndDisplaceLowerOnes)
{
    auto admission = admissionOf(2);
    offer(admission, 1);
    offer(admission, 2);
    CHECK(offer(admission, 3, Priority::Sheddable).verdict == Verdict::Queue);
    CHECK(offer(admission, 4, Priority::Normal).verdict == Verdict::Queue);
    auto critical = offer(admission, 5);
    CHECK(critical.verdict == Verdict::Queue);
    CHECK(critical.displaced == Admission::Refusal({ .id = 3, .reason = Reason::Displaced }));
    CHECK(offer(admission, 6, Priority::Sheddable).reason == Reason::Delay);
    auto shortQueue = admissionOf(1);
    for (uint64_t id = 1; id <= 3; ++id)
        offer(shortQueue, id);
    CHECK(offer(shortQueue, 4).reason == Reason::QueueFull);
    CHECK(admission.finish(1, Milliseconds(10), at(10)).ok());
    CHECK(admission.take(at(10))->started == std::vector<uint64_t>({ 5 }));
    CHECK(admission.putBack(5, at(10)).ok());
    CHECK(admission.cancel(4).ok());
    CHECK(admission.take(at(10))->started == std::vector<uint64_t>({ 5 }));
    LONGS_EQUAL(0, admission.queued());
}

// Guards against crashes and silent changes on bad input.
TEST(Admission, BadInputIsRefused)
{
    CHECK(!Admission::create({ .maxQueued = -1 }).ok());
    CHECK(!Admission::create({ .targetDelay = Milliseconds(0) }).ok());
    CHECK(!Admission::create({ .delayShareMillis = { 1001, 0, 0 } }).ok());
    auto admission = admissionOf();
    CHECK(!admission.setSlots(-1).ok());
    CHECK(!admission.offer({ .id = 1, .priority = static_cast<Priority>(9) }, at(0)).ok());
    offer(admission, 1);
    CHECK(!admission.offer({ .id = 1, .deadline = at(1000) }, at(0)).ok());
    CHECK(!admission.finish(2, Milliseconds(1), at(0)).ok());
    CHECK(!admission.finish(1, Milliseconds(-1), at(0)).ok());
    CHECK(!admission.cancel(1).ok());
    CHECK(!admission.putBack(2, at(0)).ok());
    CHECK(admission.take(at(5)).ok());
    CHECK(!admission.take(at(4)).ok());
    CHECK(admission.setSlots(0).ok());
    CHECK(admission.offer({ .id = 2, .deadline = at(1000) }, at(5))->reason == Reason::Delay);
}
