#include <CppUTest/TestHarness.h>
#include <LibDecision/RetryBudget.h>

using namespace Bergamot;
using Verdict = RetryBudget::Verdict;

TEST_GROUP(RetryBudget) { static Instant at(int ms) { return epochInstant + Milliseconds(ms);
}
static RetryBudget::Try idempotentTry(int32_t tries = 1)
{
    return { .tries = tries, .deadline = at(1000), .expected = Milliseconds(20), .idempotent = true };
}
}
;

// Guards against retries that multiply an overload: with every try failing, retries stay at the share.
TEST(RetryBudget, RetriesAndHedgesTogetherStayWithinTheShare)
{
    auto budget = RetryBudget::create({ .shareMillis = 100 });
    int granted = 0;
    for (int n = 0; n < 10000; ++n) {
        budget->noteFirstTry();
        granted += budget->retry(idempotentTry(), at(0), static_cast<uint64_t>(n))->verdict == Verdict::Granted;
        granted += budget->hedge(idempotentTry(), at(0))->verdict == Verdict::Granted;
    }
    LONGS_EQUAL(1000, granted);
}

// Guards against repeated runs of non-idempotent requests and against tries that cannot end in time.
TEST(RetryBudget, OnlySafeAndTimelyTriesAreGranted)
{
    auto budget = RetryBudget::create({ .shareMillis = 1000 });
    for (int n = 0; n < 50; ++n)
        budget->noteFirstTry();
    auto unsafe = idempotentTry();
    unsafe.idempotent = false;
    CHECK(budget->retry(unsafe, at(0), 1)->verdict == Verdict::NotRepeatable);
    CHECK(budget->hedge(unsafe, at(0))->verdict == Verdict::NotRepeatable);
    unsafe.didNotRun = true;
    CHECK(budget->retry(unsafe, at(0), 1)->verdict == Verdict::Granted);
    CHECK(budget->hedge(unsafe, at(0))->verdict == Verdict::NotRepeatable);
    CHECK(budget->retry(idempotentTry(3), at(0), 1)->verdict == Verdict::TriesExhausted);
    CHECK(budget->retry(idempotentTry(), at(980), 0)->verdict == Verdict::Granted);
    CHECK(budget->retry(idempotentTry(), at(981), 0)->verdict == Verdict::Deadline);
    LONGS_EQUAL(48000, budget->savedMillis());
}

// Guards against callers that come back all at the same time.
TEST(RetryBudget, TheBackoffIsSpreadAndGrows)
{
    auto budget = RetryBudget::create({ .shareMillis = 1000, .maxTries = 40 });
    Milliseconds longest[3] {};
    for (uint64_t n = 0; n < 300; ++n) {
        budget->noteFirstTry();
        const auto step = n % 3;
        const int32_t tries[] = { 1, 2, 30 };
        auto decision = budget->retry(idempotentTry(tries[step]), at(0), n / 3 * 7919);
        CHECK(decision->verdict == Verdict::Granted);
        longest[step] = std::max(longest[step], decision->backoff);
    }
    CHECK(longest[0] == Milliseconds(10));
    CHECK(longest[1] > Milliseconds(15) && longest[1] <= Milliseconds(20));
    CHECK(longest[2] > Milliseconds(200) && longest[2] <= Milliseconds(250));
}

// Guards against crashes and silent changes on bad input.
TEST(RetryBudget, BadInputIsRefused)
{
    CHECK(!RetryBudget::create({ .shareMillis = -1 }).ok());
    CHECK(!RetryBudget::create({ .maxTries = 0 }).ok());
    CHECK(!RetryBudget::create({ .baseBackoff = Milliseconds(10), .maxBackoff = Milliseconds(9) }).ok());
    auto budget = RetryBudget::create({});
    CHECK(!budget->retry(idempotentTry(0), at(0), 1).ok());
    CHECK(budget->retry(idempotentTry(), at(5), 1)->verdict == Verdict::Budget);
    CHECK(!budget->retry(idempotentTry(), at(4), 1).ok());
}
