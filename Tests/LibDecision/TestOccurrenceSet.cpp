#include "../CheckProperty.h"
#include <CppUTest/TestHarness.h>
#include <LibDecision/OccurrenceSet.h>
#include <limits>
#include <set>

using namespace Bergamot;

TEST_GROUP(OccurrenceSet) {};

// Guards against ended occurrences that run again, and against others that never run.
TEST(OccurrenceSet, HoldsTheNumbersThatWereAdded)
{
    checkProperty("the set equals a plain one", [] {
        constexpr uint32_t maxNumber { 30 };
        OccurrenceSet set;
        std::set<uint32_t> expected;
        auto count = *rc::gen::inRange<uint32_t>(0, 20);
        for (uint32_t i = 0; i < count; ++i) {
            OccurrenceRange range { *rc::gen::inRange<uint32_t>(0, maxNumber - 5), *rc::gen::inRange<uint32_t>(0, 5) };
            set.add(range);
            for (uint32_t k = 0; k < range.count; ++k)
                expected.insert(range.first + k);
            RC_ASSERT(set.size() == expected.size());
            RC_ASSERT(set.end() == (expected.empty() ? 0 : *expected.rbegin() + 1));
        }
        for (uint32_t k = 0; k <= maxNumber; ++k) {
            RC_ASSERT(set.contains(k) == expected.contains(k));
            auto missing = k;
            while (expected.contains(missing))
                ++missing;
            RC_ASSERT(set.firstMissingFrom(k) == missing);
        }
    });
}

TEST(OccurrenceSet, RangesThatAdjoinAreStoredAsOne)
{
    OccurrenceSet set;
    for (uint32_t k : { 4, 0, 2, 1, 3 })
        set.add({ k, 1 });
    CHECK_EQUAL(1, set.ranges().size());
    CHECK((set.ranges().front() == OccurrenceRange { 0, 5 }));
}

// Guards against a stored range that ends beyond the largest number.
TEST(OccurrenceSet, RangeBeyondTheLargestNumberIsCut)
{
    constexpr auto max = std::numeric_limits<uint32_t>::max();
    OccurrenceSet set;
    set.add({ 5, max });
    CHECK_EQUAL(max, set.end());
    CHECK_FALSE(set.contains(4));
}
