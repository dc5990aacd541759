#include "FaultCell.h"
#include <CppUTest/TestHarness.h>
#include <LibCore/Logger.h>
#include <cstdlib>
#include <fmt/format.h>

using namespace Bergamot;

static uint64_t readEnvironmentNumber(const char* variable, uint64_t fallback)
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

// Guards against combinations of faults that violate P1 to P4, P7 or P10, or after which jobs never end. BERGAMOT_SEED
// and BERGAMOT_SECONDS override the fixed seeds and the length.
TEST(RandomisedRun, FaultsInAnyCombination)
{
    Milliseconds length { readEnvironmentNumber("BERGAMOT_SECONDS", 600) * 1000 };
    if (std::getenv("BERGAMOT_SEED")) {
        checkSeed(readEnvironmentNumber("BERGAMOT_SEED", 1), length);
        return;
    }
    for (uint64_t seed : { 1, 2, 4, 5, 6, 7, 8, 9, 10 })
        checkSeed(seed, length);
}

// Guards against a job that completes a second time on another worker.
TEST(RandomisedRun, JobCompletesOnceWithFaultsOfSeed3) { checkSeed(3, Milliseconds { 600'000 }); }

// Guards against a second completion of a job whose kind does not set single_run. The default of single_run
// once allowed it.
TEST(RandomisedRun, JobCompletesOnceWithFaultsOfSeed18) { checkSeed(18, Milliseconds { 600'000 }); }

// Guards against the same failure as seed 18 with other combinations of faults.
TEST(RandomisedRun, JobCompletesOnceWithFaultsOfSeeds7003And7004)
{
    checkSeed(7003, Milliseconds { 600'000 });
    checkSeed(7004, Milliseconds { 600'000 });
}

// Guards against a start in a zone long after operators have taken it out of service. In this run the request to bring
// the zone back takes effect although its reply is lost, so starts are allowed again from then on.
TEST(RandomisedRun, NoStartInZoneOutWithFaultsOfSeed9032) { checkSeed(9032, Milliseconds { 600'000 }); }
