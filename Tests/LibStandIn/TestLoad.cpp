#include <CppUTest/TestHarness.h>
#include <LibStandIn/JobMix.h>
#include <LibStandIn/JsonField.h>
#include <LibStandIn/LatencySummary.h>
#include <LibStandIn/ProtocolJson.h>
#include <LibStandIn/ReplyClassification.h>
#include <LibStandIn/WorkerFaults.h>

using namespace Bergamot;

TEST_GROUP(Load) {};

// Guards against a truncated reply, or the reply to another request, that counts as a success, and against an unknown
// execution state that is read as "no".
TEST(Load, RepliesAreReadStrictly)
{
    auto readReply = [](const absl::StatusOr<HttpReply>& reply) {
        SentRequest request { .digest = "0123456789abcdef" };
        recordReply(request, reply);
        return request;
    };
    auto good = readReply(HttpReply { .status = 200, .body = "0123456789abcdef token a-w1\n" });
    CHECK(good.isComplete && good.answerDigest == good.digest && good.ran == "yes");
    CHECK(!readReply(HttpReply { .status = 200, .body = "0123456789abcdef tok" }).isComplete);
    CHECK(!readReply(HttpReply { .status = 200, .body = "" }).isComplete);
    CHECK(!readReply(
        HttpReply {
            .status = 200, .headers = { { "x-request-digest", "f" } }, .body = "0123456789abcdef token a-w1\n" })
               .isComplete);
    STRCMP_EQUAL("no", readReply(HttpReply { .status = 503, .body = R"({"ran":"no"})" }).ran.c_str());
    STRCMP_EQUAL("no", readReply(HttpReply { .status = 503, .headers = { { "X-Ran", "no" } } }).ran.c_str());
    STRCMP_EQUAL("unknown", readReply(HttpReply { .status = 503, .body = "{" }).ran.c_str());
    STRCMP_EQUAL("busy", problemTypeOf(HttpReply { .status = 503, .body = R"({"type":"urn:x:busy"})" }).c_str());
    STRCMP_EQUAL("unknown", readReply(absl::UnavailableError("")).ran.c_str());
    STRCMP_EQUAL("cut_off", readReply(absl::UnavailableError("")).error.c_str());
    STRCMP_EQUAL("no", readReply(absl::AbortedError("")).ran.c_str());
    STRCMP_EQUAL("timeout", readReply(absl::DeadlineExceededError("")).error.c_str());
}

// Guards against a sequence of jobs that cannot be reproduced from its seed.
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

// Guards against off-by-one errors in percentile ranks.
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

// Guards against malformed calls that reach the worker model, and against JSON keys that differ from
// docs/platform-protocol.md.
TEST(Load, ProtocolJson)
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

// Guards against fault requests that are partially applied, and against faults that outlast their count or duration.
TEST(Load, WorkerFaultsExpire)
{
    WorkerFaults faults;
    Instant start(Milliseconds(100));
    CHECK(!faults.apply(parseJson(R"({"worker":"*","freeze_ms":50,"typo":1})"), start).ok());
    CHECK(!faults.isFrozen(start));
    auto effect
        = faults.apply(parseJson(R"({"freeze_ms":50,"late_ms":20,"count":1,"fail_starts":"fail","die":true})"), start);
    CHECK(effect->startFault == StartFault::Fail && effect->crashes && faults.isCrashed());
    CHECK(faults.isFrozen(Instant(Milliseconds(149))) && !faults.isFrozen(Instant(Milliseconds(150))));
    CHECK_EQUAL(20, faults.takeReplyDelay().count());
    CHECK_EQUAL(0, faults.takeReplyDelay().count());
    CHECK(faults.apply(parseJson(R"({"revive":true})"), start).ok() && !faults.isCrashed());
}
