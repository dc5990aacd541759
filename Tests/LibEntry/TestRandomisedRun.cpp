#include "FaultCell.h"
#include <CppUTest/TestHarness.h>
#include <LibCore/Logger.h>
#include <cstdlib>
#include <fmt/format.h>

using namespace Bergamot;

static uint64_t numberFrom(const char* variable, uint64_t fallback)
{
    const char* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

TEST_GROUP(RandomisedRun) { void setup() override { Logger::the().setLevel(LogLevel::Error);
}
void teardown() override { Logger::the().setLevel(LogLevel::Info); }

void checkSeed(uint64_t seed, Milliseconds length)
{
    auto result = runRandomised(seed, length);
    auto text = result.violations.empty() ? "" : fmt::format("seed {}: {}{}", seed, result.violations, result.trace);
    STRCMP_EQUAL("", text.c_str());
}
}
;

// Guards against combinations of faults that break a promise or stop progress for good. BERGAMOT_SEED and
// BERGAMOT_SECONDS replace the fixed seeds and length.
TEST(RandomisedRun, FaultsInAnyCombination)
{
    Milliseconds length { numberFrom("BERGAMOT_SECONDS", 600) * 1000 };
    auto first = numberFrom("BERGAMOT_SEED", 1);
    auto last = std::getenv("BERGAMOT_SEED") ? first : first + 9;
    for (auto seed = first; seed <= last; ++seed)
        checkSeed(seed, length);
}
