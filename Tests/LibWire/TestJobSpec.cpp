#include <CppUTest/TestHarness.h>
#include <LibWire/JobSpec.h>
#include <LibWire/ValueCodec.h>
#include <tuple>
#include <vector>

using namespace Bergamot;

TEST_GROUP(JobSpec) {};

// Guards against a queue policy that is lost when a job is encoded for the leader.
TEST(JobSpec, PolicyAtAcceptanceRoundTrips)
{
    JobSpec job { .id = "a", .queue = "q", .steps = { {} } };
    job.policyAtAcceptance
        = QueuePolicy { .service = "s", .priority = 2, .maxAttempts = 3, .stretch = 1.5, .targetLatencyMs = 250 };
    job.configVersionAtAcceptance = 81;
    auto decoded = decodeValue<JobSpec>(encodeValue(job));
    CHECK(decoded.ok());
    CHECK(*decoded == job);
}

// Guards against a new version that cannot decode jobs which an older version stored without a policy.
TEST(JobSpec, RecordOfAnOlderVersionHasNoPolicy)
{
    std::tuple older { JobId("a"), std::string("q"), std::string("p"), std::vector<StepSpec> { {} }, 0U, int64_t { 0 },
        int64_t { 0 }, int64_t { 9 } };
    auto decoded = decodeValue<JobSpec>(encodeValue(older));
    CHECK(decoded.ok());
    CHECK_EQUAL(9, decoded->acceptedAtMs);
    CHECK_FALSE(decoded->policyAtAcceptance.has_value());
    CHECK_EQUAL(0, decoded->configVersionAtAcceptance);
}
