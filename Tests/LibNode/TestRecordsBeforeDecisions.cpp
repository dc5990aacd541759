#include "../CheckProperty.h"
#include "RestartDay.h"
#include <CppUTest/TestHarness.h>
#include <fmt/ranges.h>

using namespace Bergamot;

TEST_GROUP(RecordsBeforeDecisions) {};

// Guards against decisions that cannot be taken back and that rest on a default or an old value of a record that the
// node has not read (issue 55).
TEST(RecordsBeforeDecisions, DecisionsWaitForTheRecordsThatTheyRestOn)
{
    checkProperty("decisions wait for their records", [] {
        auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
        RestartDay day(seed);
        day.run();
        if (!day.model.violations.empty())
            RC_FAIL(fmt::format("day {}: {}", seed, fmt::join(day.model.violations, "; ")));
    });
}
