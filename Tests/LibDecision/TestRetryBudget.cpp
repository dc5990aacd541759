#include <CppUTest/TestHarness.h>
#include <LibDecision/RetryBudget.h>

using namespace Bergamot;
using Outcome = RetryBudget::Outcome;

TEST_GROUP(RetryBudget) { static Instant at(int ms) { return epochInstant + Milliseconds(ms);
}
static RetryBudget::Try idempotentTry(int32_t tries = 1)
{
    return { .tries = tries, .deadline = at(1000), .expectedDuration = Milliseconds(20), .isIdempotent = true };
}
}
;

// Guards against retries that amplify an overload: even when every try fails, retries and hedged requests stay within
// the configured share.
TEST(RetryBudget, RetriesAndHedgesTogetherStayWithinTheShare)
{
    auto budget = RetryBudget::create({ .shareMillis = 100 });
    int granted = 0;
    for (int n = 0; n < 10000; ++n) {
        budget->recordFirstTry();
        granted += budget->retry(idempotentTry(), at(0), static_cast<uint64_t>(n))->outcome == Outcome::Granted;
        granted += budget->hedge(idempotentTry(), at(0))->outcome == Outcome::Granted;
    }
    LONGS_EQUAL(1000, granted);
}

// Guards against repeated runs of non-idempotent requests, and against tries that cannot end before the deadline.
TEST(RetryBudget, OnlySafeAndTimelyTriesAreGranted)
{
    auto budget = RetryBudget::create({ .shareMillis = 1000 });
    for (int n = 0; n < 50; ++n)
        budget->recordFirstTry();
    auto unsafe = idempotentTry();
    unsafe.isIdempotent = false;
    CHECK(budget->retry(unsafe, at(0), 1)->outcome == Outcome::NotRetryable);
    CHECK(budget->hedge(unsafe, at(0))->outcome == Outcome::NotRetryable);
    unsafe.didNotRun = true;
    CHECK(budget->retry(unsafe, at(0), 1)->outcome == Outcome::Granted);
    CHECK(budget->hedge(unsafe, at(0))->outcome == Outcome::NotRetryable);
    CHECK(budget->retry(idempotentTry(3), at(0), 1)->outcome == Outcome::TriesExhausted);
    CHECK(budget->retry(idempotentTry(), at(980), 0)->outcome == Outcome::Granted);
    CHECK(budget->retry(idempotentTry(), at(981), 0)->outcome == Outcome::DeadlineTooClose);
    LONGS_EQUAL(48000, budget->savedMillis());
}

// Guards against retries of many callers at the same time.
TEST(RetryBudget, TheBackoffIsJitteredAndIncreases)
{
    auto budget = RetryBudget::create({ .shareMillis = 1000, .maxTries = 40 });
    Milliseconds maxBackoff[3] {};
    for (uint64_t n = 0; n < 300; ++n) {
        budget->recordFirstTry();
        const auto step = n % 3;
        const int32_t tries[] = { 1, 2, 30 };
        auto decision = budget->retry(idempotentTry(tries[step]), at(0), n / 3 * 7919);
        CHECK(decision->outcome == Outcome::Granted);
        maxBackoff[step] = std::max(maxBackoff[step], decision->backoff);
    }
    CHECK(maxBackoff[0] == Milliseconds(10));
    CHECK(maxBackoff[1] > Milliseconds(15) && maxBackoff[1] <= Milliseconds(20));
    CHECK(maxBackoff[2] > Milliseconds(200) && maxBackoff[2] <= Milliseconds(250));
}

// Guards against crashes and state changes on invalid arguments.
TEST(RetryBudget, InvalidArgumentsAreRejected)
{
    CHECK(!RetryBudget::create({ .shareMillis = -1 }).ok());
    CHECK(!RetryBudget::create({ .maxTries = 0 }).ok());
    CHECK(!RetryBudget::create({ .baseBackoff = Milliseconds(10), .maxBackoff = Milliseconds(9) }).ok());
    auto budget = RetryBudget::create({});
    CHECK(!budget->retry(idempotentTry(0), at(0), 1).ok());
    CHECK(budget->retry(idempotentTry(), at(5), 1)->outcome == Outcome::BudgetExhausted);
    CHECK(!budget->retry(idempotentTry(), at(4), 1).ok());
}
