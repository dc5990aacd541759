#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <bergamot-node-soak/FaultSchedule.h>

using namespace Bergamot;

TEST_GROUP(FaultSchedule) {};

// Guards against a run of all kinds that plays an excluded kind, or that leaves out another one.
TEST(FaultSchedule, ExcludedKindIsRemovedFromAll)
{
    auto kinds = parseFaultKinds("all,-worker-crash");
    CHECK(kinds.ok());
    LONGS_EQUAL(faultNames.size() - 1, kinds->size());
    CHECK(std::ranges::find(*kinds, FaultKind::WorkerCrash) == kinds->end());
}

// Guards against a misspelled kind that a run then silently leaves out or plays.
TEST(FaultSchedule, UnknownNameIsAnError)
{
    CHECK_FALSE(parseFaultKinds("all,worker-crashes").ok());
    CHECK_FALSE(parseFaultKinds("all,-worker-crashes").ok());
}
