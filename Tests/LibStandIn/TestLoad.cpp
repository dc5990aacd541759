#include <CppUTest/TestHarness.h>
#include <LibStandIn/AnswerReading.h>
#include <LibStandIn/JobMix.h>
#include <LibStandIn/JsonField.h>
#include <LibStandIn/LatencySummary.h>
#include <LibStandIn/PlatformJson.h>
#include <LibStandIn/WorkerFaults.h>

using namespace Bergamot;

TEST_GROUP(Load) {};

// Guards against a cut off or foreign answer that counts as a good one, and against an unknown effect taken as "no".
TEST(Load, AnswersAreReadStrictly)
{
    auto readAnswer = [](const absl::StatusOr<HttpReply>& reply) {
        SentRequest request { .digest = "0123456789abcdef" };
        noteAnswer(request, reply);
        return request;
    };
    auto good = readAnswer(HttpReply { .status = 200, .body = "0123456789abcdef token a-w1\n" });
    CHECK(good.isWhole && good.answerDigest == good.digest && good.ran == "yes");
    CHECK(!readAnswer(HttpReply { .status = 200, .body = "0123456789abcdef tok" }).isWhole);
    CHECK(!readAnswer(HttpReply { .status = 200, .body = "" }).isWhole);
    CHECK(!readAnswer(
        HttpReply {
            .status = 200, .headers = { { "x-request-digest", "f" } }, .body = "0123456789abcdef token a-w1\n" })
               .isWhole);
    STRCMP_EQUAL("no", readAnswer(HttpReply { .status = 503, .body = R"({"ran":"no"})" }).ran.c_str());
    STRCMP_EQUAL("no", readAnswer(HttpReply { .status = 503, .headers = { { "X-Ran", "no" } } }).ran.c_str());
    STRCMP_EQUAL("unknown", readAnswer(HttpReply { .status = 503, .body = "{" }).ran.c_str());
    STRCMP_EQUAL("busy", problemOf(HttpReply { .status = 503, .body = R"({"type":"urn:x:busy"})" }).c_str());
    STRCMP_EQUAL("unknown", readAnswer(absl::UnavailableError("")).ran.c_str());
    STRCMP_EQUAL("cut_off", readAnswer(absl::UnavailableError("")).error.c_str());
    STRCMP_EQUAL("no", readAnswer(absl::AbortedError("")).ran.c_str());
    STRCMP_EQUAL("timeout", readAnswer(absl::DeadlineExceededError("")).error.c_str());
}

// Guards against runs that cannot be repeated from their seed.
TEST(Load, MixFollowsTheSeed)
{
    JobMix::Options options { .seed = 4, .kinds = { "a", "b" }, .cancelShare = 0.5, .oversizeShare = 0.1 };
    JobMix first(options);
    JobMix second(options);
    options.seed = 5;
    JobMix other(options);
    int equal = 0;
    for (int i = 0; i < 100; ++i) {
        auto job = first.next();
        CHECK(job == second.next());
        CHECK(job.size.isValid() && job.runMs > 0);
        equal += job == other.next() ? 1 : 0;
    }
    CHECK(equal < 10);
}

// Guards against percentiles that are off by one value.
TEST(Load, Percentiles)
{
    LatencySummary summary;
    DOUBLES_EQUAL(0, summary.percentileMs(0.5), 0);
    for (int64_t i = 100; i >= 1; --i)
        summary.add(i * 1000);
    DOUBLES_EQUAL(50, summary.percentileMs(0.5), 0);
    DOUBLES_EQUAL(99, summary.percentileMs(0.99), 0);
    DOUBLES_EQUAL(100, summary.percentileMs(1), 0);
}

// Guards against malformed calls that reach the worker model, and against keys that differ from the protocol page.
TEST(Load, PlatformJson)
{
    auto start = parseTaskStart(parseJson(R"({"task":{"job":"j","attempt":2},"kind":"k","size":{"cpu_millis":5},
        "run_ms":7,"lease_until_ms":9,"checkpoint":"c","is_service":true})"));
    TaskStart expected { { "j", 2 }, "k", { 5, 0, 0 }, 7, 9, "c", true };
    CHECK(*start == expected);
    for (const auto* bad : { "{", "[]", R"({"task":{"job":"j","attempt":0},"size":{},"lease_until_ms":1})",
             R"({"task":{"job":"j","attempt":1},"lease_until_ms":1})",
             R"({"task":{"job":"j","attempt":1},"size":{"cpu_millis":-1},"lease_until_ms":1})" })
        CHECK(absl::IsInvalidArgument(parseTaskStart(parseJson(bad)).status()));
    CHECK(absl::IsInvalidArgument(parseLeaseRenewal(parseJson(R"({"tasks":[{}]})")).status()));
    LeaseReport report { 5, { { { "j", 1 }, { 1, 2, 3 }, 4 } }, { { { "e", 2 }, TaskOutcome::Lost, "c", "r" } } };
    STRCMP_EQUAL(R"({"ended":[{"checkpoint":"c","outcome":"lost","result":"r","task":{"attempt":2,"job":"e"}}],)"
                 R"("running":[{"progress_milli":4,"task":{"attempt":1,"job":"j"},)"
                 R"("used":{"accelerators":3,"cpu_millis":1,"memory_mb":2}}],"worker_clock_ms":5})",
        toJson(report).dump().c_str());
}

// Guards against orders that are half applied, and against faults that stay after their count or time.
TEST(Load, WorkerFaultsEnd)
{
    WorkerFaults faults;
    Instant start(Milliseconds(100));
    CHECK(!faults.apply(parseJson(R"({"worker":"*","freeze_ms":50,"typo":1})"), start).ok());
    CHECK(!faults.isFrozen(start));
    auto effect
        = faults.apply(parseJson(R"({"freeze_ms":50,"late_ms":20,"count":1,"fail_starts":"fail","die":true})"), start);
    CHECK(effect->startFault == StartFault::Fail && effect->dies && faults.isDead());
    CHECK(faults.isFrozen(Instant(Milliseconds(149))) && !faults.isFrozen(Instant(Milliseconds(150))));
    CHECK_EQUAL(20, faults.takeLateness().count());
    CHECK_EQUAL(0, faults.takeLateness().count());
    CHECK(faults.apply(parseJson(R"({"revive":true})"), start).ok() && !faults.isDead());
}
