#include <CppUTest/TestHarness.h>
#include <LibDecision/TermsLedger.h>

using namespace Bergamot;

TEST_GROUP(TermsLedger) {
    static TermsLedger ledgerOf(TermsLedger::Overflow overflow) { auto ledger = TermsLedger::create(overflow);
// 24 slots remain with zone b out.
CHECK(ledger->setCapacity({ { "a", 16 }, { "b", 24 }, { "c", 8 } }).ok());
for (const auto* client : { "x", "y" }) {
    CHECK(ledger
              ->setPlan({ .client = client,
                  .requestsPerSecond = 100,
                  .concurrency = 10,
                  .growthMillis = 250,
                  .maxRequestsPerSecond = 130,
                  .maxConcurrency = 16 })
              .ok());
}
return std::move(*ledger);
}

static absl::StatusCode renew(TermsLedger& ledger, const ClientId& client, LogPosition position)
{
    auto terms = ledger.propose(client);
    return terms.ok() ? ledger.apply(*terms, position).status().code() : terms.status().code();
}
}
;

// Guards against terms that shrink, exceed the plan, or grow twice for one renewal.
TEST(TermsLedger, EachRenewalGrowsTheTermsOnce)
{
    auto ledger = ledgerOf(TermsLedger::Overflow::Refuse);
    const auto first = *ledger.propose("x");
    CHECK(ledger.apply(first, 5).ok());
    CHECK(ledger.apply(first, 5).status().code() == absl::StatusCode::kAlreadyExists);
    CHECK(ledger.apply(first, 6).status().code() == absl::StatusCode::kAlreadyExists);
    LONGS_EQUAL(10, ledger.termsOf("x")->concurrency);
    CHECK(renew(ledger, "x", 7) == absl::StatusCode::kOk);
    LONGS_EQUAL(13, ledger.termsOf("x")->concurrency);
    LONGS_EQUAL(125, ledger.termsOf("x")->requestsPerSecond);
    CHECK(renew(ledger, "x", 8) == absl::StatusCode::kOk);
    LONGS_EQUAL(16, ledger.termsOf("x")->concurrency);
    LONGS_EQUAL(130, ledger.termsOf("x")->requestsPerSecond);
}

// Guards against guarantees that cannot be kept while the largest zone is out.
TEST(TermsLedger, GuaranteesFitWithTheLargestZoneOut)
{
    auto ledger = ledgerOf(TermsLedger::Overflow::Refuse);
    LogPosition position = 1;
    CHECK(renew(ledger, "x", position++) == absl::StatusCode::kOk);
    CHECK(renew(ledger, "y", position++) == absl::StatusCode::kOk);
    CHECK(renew(ledger, "x", position++) == absl::StatusCode::kOk);
    CHECK(renew(ledger, "y", position) == absl::StatusCode::kResourceExhausted);
    LONGS_EQUAL(23, ledger.guaranteed());
    CHECK(ledger.setCapacity({ { "a", 16 }, { "b", 24 }, { "c", 10 } }).ok());
    CHECK(renew(ledger, "y", position) == absl::StatusCode::kOk);

    auto partial = ledgerOf(TermsLedger::Overflow::LargestThatFits);
    for (LogPosition n = 1; n <= 3; ++n)
        CHECK(renew(partial, n % 2 ? "x" : "y", n) == absl::StatusCode::kOk);
    CHECK(renew(partial, "y", 4) == absl::StatusCode::kOk);
    LONGS_EQUAL(11, partial.termsOf("y")->concurrency);
    LONGS_EQUAL(24, partial.guaranteed());
    CHECK(renew(partial, "y", 5) == absl::StatusCode::kResourceExhausted);
    // Terms that were granted stay when workers leave.
    CHECK(partial.setCapacity({ { "a", 1 } }).ok());
    LONGS_EQUAL(24, partial.guaranteed());
    CHECK(renew(partial, "x", 5) == absl::StatusCode::kResourceExhausted);
}

// Guards against crashes and silent changes on bad input.
TEST(TermsLedger, BadInputIsRefused)
{
    auto ledger = ledgerOf(TermsLedger::Overflow::Refuse);
    CHECK(!ledger.setPlan({ .client = "x", .concurrency = -1 }).ok());
    CHECK(!ledger.setPlan({ .client = "x", .concurrency = 5, .maxConcurrency = 4 }).ok());
    CHECK(!ledger.setPlan({ .client = "x", .concurrency = INT64_MAX, .maxConcurrency = INT64_MAX }).ok());
    CHECK(!ledger.setCapacity({ { "a", -1 } }).ok());
    CHECK(!ledger.propose("z").ok());
    auto terms = *ledger.propose("x");
    terms.renewal = 2;
    CHECK(ledger.apply(terms, 1).status().code() == absl::StatusCode::kFailedPrecondition);
    terms.renewal = 1;
    terms.concurrency = 25;
    CHECK(ledger.apply(terms, 2).status().code() == absl::StatusCode::kResourceExhausted);
    terms.concurrency = -1;
    CHECK(ledger.apply(terms, 3).status().code() == absl::StatusCode::kInvalidArgument);
    CHECK(!ledger.restore({ { .client = "x" } }, 3).ok());
    CHECK(!ledger.termsOf("x").ok());
    LONGS_EQUAL(0, ledger.guaranteed());
}

// Guards against two renewals that each fit alone and together exceed the slots, and against a snapshot that loses
// order.
TEST(TermsLedger, TheFirstOfTwoRacingRenewalsWins)
{
    auto ledger = ledgerOf(TermsLedger::Overflow::LargestThatFits);
    CHECK(ledger.restore({ { "x", 2, 100, 12 }, { "y", 1, 100, 10 } }, 9).ok());
    auto ofX = *ledger.propose("x");
    auto ofY = *ledger.propose("y");
    LONGS_EQUAL(14, ofX.concurrency);
    LONGS_EQUAL(12, ofY.concurrency);
    CHECK(ledger.apply(ofY, 9).status().code() == absl::StatusCode::kAlreadyExists);
    CHECK(ledger.apply(ofY, 10).ok());
    CHECK(ledger.apply(ofX, 11).status().code() == absl::StatusCode::kResourceExhausted);
    ofY.renewal = 3;
    ofY.concurrency = 5;
    CHECK(ledger.apply(ofY, 12).status().code() == absl::StatusCode::kFailedPrecondition);
}
