#include <CppUTest/TestHarness.h>
#include <LibDecision/LimitsBench.h>
#include <sstream>
#include <string>

using namespace Bergamot;

TEST_GROUP(LimitsBench) {};

// Guards against a policy that misses its target on the models in virtual time, and against output that differs between
// runs with the same seed.
TEST(LimitsBench, TheTargetsAreReachedAtASmallSize)
{
    std::ostringstream first;
    std::ostringstream second;
    runLimitsBench(1, first, { .seconds = 10 });
    runLimitsBench(1, second, { .seconds = 10 });
    STRCMP_EQUAL(first.str().c_str(), second.str().c_str());
    for (const std::string workload :
        { "slots_first_move", "slots_later_move", "slots_served_share", "admission_goodput_2x", "admission_p99_2x",
            "admission_critical_share_2x", "client_limit_use", "retry_amplification", "outlier_bad_share" }) {
        const auto start = first.str().find("{\"workload\":\"" + workload + "\",");
        CHECK(start != std::string::npos);
        const auto line = first.str().substr(start, first.str().find('\n', start) - start);
        CHECK_TEXT(line.find("\"reached\":true") != std::string::npos, line.c_str());
    }
}
