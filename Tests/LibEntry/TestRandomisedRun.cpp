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
    if (std::getenv("BERGAMOT_SEED")) {
        checkSeed(numberFrom("BERGAMOT_SEED", 1), length);
        return;
    }
    for (uint64_t seed : { 1, 2, 4, 5, 6, 7, 8, 9, 10 })
        checkSeed(seed, length);
}

// Guards against a job that completes a second time elsewhere. Seed 3 showed it first.
TEST(RandomisedRun, JobCompletesOnceWithFaultsOfSeed3) { checkSeed(3, Milliseconds { 600'000 }); }

// As above, for a kind that does not name single_run, which once allowed the second run.
TEST(RandomisedRun, JobCompletesOnceWithFaultsOfSeed18) { checkSeed(18, Milliseconds { 600'000 }); }

// As for seed 18; two more seeds that showed it.
TEST(RandomisedRun, JobCompletesOnceWithFaultsOfSeeds7003And7004)
{
    checkSeed(7003, Milliseconds { 600'000 });
    checkSeed(7004, Milliseconds { 600'000 });
}

// Guards against a start in a zone long after operators have taken it out. In this run the return of the zone takes
// effect although its answer is lost, so that starts are allowed again.
TEST(RandomisedRun, NoStartInZoneOutWithFaultsOfSeed9032) { checkSeed(9032, Milliseconds { 600'000 }); }
