#include <CppUTest/TestHarness.h>
#include <LibDecision/EndedJobs.h>
#include <vector>

using namespace Bergamot;

TEST_GROUP(EndedJobs) { EndedJobs jobs; };

// Guards against ids that are taken for each other because they have the same value, or no value, as a number.
TEST(EndedJobs, IdsOfAnyFormAreKeptApart)
{
    const std::vector<JobId> ids { "00000000000000ab", "00000000000000AB", "ab", "0xab", "               ab",
        "-0000000000000ab", "+0000000000000ab", "000000000000000000ab", "00000000000000abz", "ffffffffffffffff", "",
        std::string(16, '\0') };
    for (const auto& id : ids) {
        CHECK(!jobs.find(id));
        jobs.set(id, { .state = JobStage::Failed });
    }
    CHECK_EQUAL(ids.size(), jobs.size());
    jobs.set(ids[0], { .state = JobStage::Cancelled, .isKnown = true });
    for (const auto& id : ids) {
        EndedJobs::Entry expected { .state = JobStage::Failed };
        if (id == ids[0])
            expected = { .state = JobStage::Cancelled, .isKnown = true };
        CHECK(*jobs.find(id) == expected);
    }
    CHECK_EQUAL(ids.size(), jobs.size());
}
